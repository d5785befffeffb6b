import type { LogEventName } from './events.js';

/**
 * What happened with each event, and what an operator can do about it. The texts are not part of {@link LOG_EVENTS}, so
 * that programs that only log do not contain them.
 */
const eventTexts: Readonly<Record<LogEventName, string>> = {
  hostStarted: 'The entry host listens for callers and peers.',
  hostReady: 'The entry host has its configuration and accepts requests.',
  drainStarted: 'A planned stop began; readiness now answers 503.',
  drainFinished: 'All requests in flight finished; the process exits.',
  drainTimedOut: 'The drain timed out with requests still in flight.',
  processFailed:
    'An unexpected error reached the outermost error handler; with `origin`, the process stops and ends with code 1 because of it.',
  logLinesDropped: 'More lines were logged in one second than the limit allows; `lines` were dropped.',
  settingsApplied: 'Changed settings are in force; those in `needRestart` only after a restart.',
  portAwaited:
    'A port or an address of this host cannot be used yet; it is tried again for 90 s. Look for what holds the port.',
  portFailed: 'A server of this host could not accept a connection or gave up its port; the host goes on without.',
  settingsAwaited: 'The settings file is missing or not valid at the start; it is read again for 20 s.',
  processStarted: 'The process runs; `build` identifies the program, `memoryBytes` is the memory of the machine.',
  processStopped:
    'The process has stopped because of the signal in `reason`, or of the processFailed of this origin; see drainFinished or drainTimedOut before it.',
  requestRefused: 'A request ended without an answer; see its outcome.',
  requestRejected: 'A request had invalid input and was not started.',
  attemptFailed: 'An attempt on a backend server failed.',
  answerReaderFailed:
    'Reading an answer threw an exception: a fault of this program. Only the request of the answer failed, or was sent again; report the `stack`.',
  requestPoisoned:
    'A request crashes servers and is blocked on all hosts; release it with releasePoison once the cause is known.',
  serverCrashNoted:
    'A backend server ended while it ran requests; `source` says who saw it, `fingerprints` which requests, `prompts` which parts of prompts.',
  serverLossUnproved:
    'An attempt lost its server, which is not known to have ended; `reason` says why this is not a crash.',
  blockNotStored: 'A blocked request could not be written to the store; the write is retried.',
  requestUnblocked: 'A blocked request may be sent again, because an operator released it.',
  blockMissing: 'The key of a blocked request is missing in the store though nobody released it; it is written again.',
  blockUnreadable:
    'The value of the key of a blocked request cannot be parsed; another version or another program wrote it.',
  partPoisoned:
    'A part of prompts crashes servers; requests with it are blocked on all hosts until `bergamotctl release`.',
  partSuspected: 'A part of prompts was in several crashes, which may be chance: see `chance`, `outputs` and `losses`.',
  requestCleared:
    'Earlier crashes under a request no longer count: servers have since run it successfully `runs` times.',
  requestSuspected:
    'Servers crashed under a request that is not blocked, because it also ran successfully; see `crashes` and `runs`.',
  storeUnavailable: 'The configuration store does not answer.',
  storeEraAdvanced:
    'The store was restored from an older copy; this host reads it again in full and rewrites its own keys.',
  storeEraIgnored:
    'The era in an answer of the store is ignored; `problem` says why. Logged once until a valid era arrives.',
  serverEntryOutdated:
    'The restored store lists a server that has left or been removed since the copy; it is not used.',
  storeRecovered: 'The configuration store answers again.',
  configApplied: 'A newer version of a service document is in force.',
  configInvalid: 'A service document in the store does not match the schema.',
  configRegressed: 'An older version, or other content of the same version, was offered and is not applied.',
  hostListUnavailable: 'The host list does not answer; the last list stays in use.',
  hostListWentBack: 'The host list has shown only an older revision for some time; that revision is now used.',
  peerCallRefused: 'A peer call had no valid signature; compare the peer keys.',
  peerKeysChanged: 'The peer keys were reloaded and are in use.',
  settingsUnreadable: 'The settings could not be reloaded; the old ones stay.',
  peerMessageInvalid: 'A message of another host, or its answer to a call, cannot be read; compare the versions.',
  peerDatagramRefused: 'A datagram was dropped: size, signature or socket error.',
  memberChanged: 'The state of another entry host changed as this host sees it.',
  domainChanged: 'The state of another failure domain changed as this host sees it.',
  hostPaused: 'This process was paused and checks the state of its peers again.',
  configLearnt: 'The heads of all documents are known; the host becomes ready.',
  configFindingCleared: 'The document in the store matches the one in force again.',
  plannerStarted: 'This host now sends the orders to the engines of a pool.',
  plannerStopped: 'This host no longer sends the orders to the engines of a pool.',
  engineOrdered: 'An engine accepted an order.',
  engineOrderFailed: 'An engine did not accept an order; the next round sends it again.',
  requestEnded: 'A request of a route ended; see outcome, reason and times.',
  attemptEnded:
    'An attempt gave no answer to pass on; see the decision and the counts behind it. `silent`: this host gave it up because its server sent nothing.',
  streamOriginUnknown:
    'A caller takes up a stream, and it cannot be known at which software version it began; it is refused.',
  streamOriginsNotStored:
    'The origins of streams could not be written to the store; the write is repeated, and streams begin at agreed origins.',
  streamOriginsStored: 'The origins of streams can be written to the store again.',
  streamOriginsUnreadable: 'The agreed origins cannot be parsed; another program wrote them.',
  streamEventMisplaced:
    'An event of a server does not follow the last one that the caller has; it is not passed on, and the attempt ends.',
  serverRestartUnlisted:
    'A server has started again under its id, and the store does not show it yet; no stream is sent there.',
  streamOriginAgreed:
    'Streams of a route that are not recorded began at this pool and software version from now on; with an empty pool, they may have begun anywhere.',
  connectionRefused:
    'A connection gets no further request; `status` was written to it, or its open requests are answered.',
  connectionsLimited:
    'Connections of a listener were closed by a limit since the last line; `limit` names it. At most one line a second.',
  requestNotAdmitted: 'A request came on a connection that is about to be closed; it is neither run nor answered.',
  stageOwnerLost: 'The host that fills the batches of a pool did not answer; the next host gets the pieces.',
  requestDelayed: 'The scheduler expects a request to be late or refuses it; see the loads of the stage pools.',
  schedulerLost: 'The scheduler of a region did not answer in time; the next host is asked.',
  refusalUnproved:
    'A server answered `status` without stating that it did not run the request, which may run once; the caller gets 502.',
  requestDenied:
    'A request was refused before it was sent to a server; `reason` says what it lacks or why it is refused now.',
  batchOwnerStarted: 'This host now fills the batches of a pool.',
  batchEnded: 'A call to a stage server ended.',
  batchFailed: 'A call to a stage server failed; its pieces wait for another call.',
  releaseFailed: 'A stage server did not release results; they use its memory until they expire.',
  routeTableApplied: 'A newer route table is in force.',
  routeTableUnreadable: 'The route table in the store cannot be parsed.',
  routeTableRegressed: 'An older route table was offered and is not applied.',
  homeRegionsUnserved:
    'The route table names regions that do not exist, `unknown`, or leaves no region for the routes and organisations in `unserved`, whose requests are refused.',
  serverListed: 'A backend server registered itself or changed its entry.',
  serverGone: 'A backend server gets no more work.',
  serverEntryIgnored: 'An entry of the catalogue names no server that can be used.',
  serversLearnt: 'Another host sent a newer list of servers.',
  serverLeaving: 'A backend server announced in an answer that it is leaving; this host sends it no more work.',
  serverRests: 'A backend server asked to get no requests for a time.',
  catalogueSourceChanged:
    'This host gets changes of the store from another source: the store itself, or relays of its failure domain.',
  catalogueBehind: 'A relay is ahead of this host, which asks it for the missing changes.',
  serverLimited:
    'A backend server stated how many requests a second it takes from all hosts; `learntFrom` says how this host knows.',
  serverUnlimited: 'The limit that a backend server had stated has ended; `reason` says how this host knows.',
  serverSuspended:
    'A server sent bytes that lead to no answer until it was abandoned; this host sends it nothing for `forMs`.',
  evacuationBegun:
    'The servers of the failure domain `evacuated` get nothing new from this host until the evacuation is taken back.',
  evacuationEnded: 'The servers of the failure domain `evacuated` get requests again.',
  evacuationUnknown: 'An evacuation names a failure domain that does not exist, `evacuated`; it has no effect.',
  serverPaced:
    'A backend server started or recovered; all hosts together send it `requestsPerSecond`, more as it answers quickly.',
  serverUnpaced: 'A backend server that started or recovered gets requests without a limit again.',
  serverColdCapped:
    'The entry of a backend server states a cold time that is too long; it counts as cold for `maxMs` at most.',
  hostListed: 'Another host of the system registered itself.',
  hostDropped: 'The registration of another host ended.',
  hostLeaseLost: 'The lease of this host may have expired; it registers again.',
  peerSilent: 'Another host does not answer; it is assigned no duties for a while.',
  plannerRoundFailed: 'The store or the engines did not answer a planning round.',
};

export default eventTexts;
