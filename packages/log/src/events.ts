/** Severity of a log event. */
export type LogLevel = 'error' | 'warn' | 'info' | 'debug';

/** One entry of the event catalogue. */
export interface LogEventSpec {
  readonly id: number;
  readonly level: LogLevel;
  /** What happened, and what an operator can do about it. */
  readonly text: string;
}

/** Every event that the system logs. Ids are stable: the id of a removed event is not reused. */
export const LOG_EVENTS = {
  hostStarted: { id: 1001, level: 'info', text: 'The entry host listens for callers and peers.' },
  hostReady: { id: 1002, level: 'info', text: 'The entry host has its configuration and accepts requests.' },
  drainStarted: { id: 1003, level: 'info', text: 'A planned stop began; readiness now answers 503.' },
  drainFinished: { id: 1004, level: 'info', text: 'All requests in flight finished; the process exits.' },
  drainTimedOut: { id: 1005, level: 'warn', text: 'The drain timed out with requests still in flight.' },
  processFailed: { id: 1006, level: 'error', text: 'An unexpected error reached the outermost error handler.' },
  logLinesDropped: {
    id: 1007,
    level: 'warn',
    text: 'More lines were logged in one second than the limit allows; `lines` were dropped.',
  },
  settingsApplied: {
    id: 1008,
    level: 'info',
    text: 'Changed settings are in force; those in `needRestart` only after a restart.',
  },
  requestRefused: { id: 2001, level: 'info', text: 'A request ended without an answer; see its outcome.' },
  requestRejected: { id: 2002, level: 'debug', text: 'A request had invalid input and was not started.' },
  attemptFailed: { id: 2003, level: 'debug', text: 'An attempt on a backend server failed.' },
  requestPoisoned: {
    id: 2101,
    level: 'warn',
    text: 'A request crashes servers and is blocked on all hosts; release it with releasePoison once the cause is known.',
  },
  serverCrashNoted: {
    id: 2102,
    level: 'info',
    text: 'A backend server ended while it ran requests; `source` says who saw it, `fingerprints` which requests, `prompts` which parts of prompts.',
  },
  serverLossUnproved: {
    id: 2103,
    level: 'info',
    text: 'An attempt lost its server, which is not known to have ended; `reason` says why this is not a crash.',
  },
  blockNotStored: {
    id: 2104,
    level: 'warn',
    text: 'A blocked request could not be written to the store; the write is retried.',
  },
  requestUnblocked: {
    id: 2105,
    level: 'info',
    text: 'A blocked request may be sent again, because an operator released it.',
  },
  blockMissing: {
    id: 2108,
    level: 'info',
    text: 'The key of a blocked request is missing in the store though nobody released it; it is written again.',
  },
  blockUnreadable: {
    id: 2109,
    level: 'warn',
    text: 'The value of the key of a blocked request cannot be parsed; another version or another program wrote it.',
  },
  partPoisoned: {
    id: 2110,
    level: 'warn',
    text: 'A part of prompts crashes servers; requests with it are blocked on all hosts until `bergamotctl release`.',
  },
  partSuspected: {
    id: 2111,
    level: 'info',
    text: 'A part of prompts was in several crashes, which may be chance: see `chance`, `outputs` and `losses`.',
  },
  requestCleared: {
    id: 2106,
    level: 'info',
    text: 'Earlier crashes under a request no longer count: servers have since run it successfully `runs` times.',
  },
  requestSuspected: {
    id: 2107,
    level: 'info',
    text: 'Servers crashed under a request that is not blocked, because it also ran successfully; see `crashes` and `runs`.',
  },
  storeUnavailable: { id: 3001, level: 'warn', text: 'The configuration store does not answer.' },
  storeEraAdvanced: {
    id: 3003,
    level: 'warn',
    text: 'The store was restored from an older copy; this host reads it again in full and rewrites its own keys.',
  },
  storeEraIgnored: {
    id: 3004,
    level: 'warn',
    text: 'The era in an answer of the store is ignored; `problem` says why. Logged once until a valid era arrives.',
  },
  serverEntryOutdated: {
    id: 3005,
    level: 'info',
    text: 'The restored store lists a server that has left or been removed since the copy; it is not used.',
  },
  storeRecovered: { id: 3002, level: 'info', text: 'The configuration store answers again.' },
  configApplied: { id: 4001, level: 'info', text: 'A newer version of a service document is in force.' },
  configInvalid: { id: 4002, level: 'error', text: 'A service document in the store does not match the schema.' },
  configRegressed: {
    id: 4003,
    level: 'error',
    text: 'An older version, or other content of the same version, was offered and is not applied.',
  },
  hostListUnavailable: { id: 5001, level: 'warn', text: 'The host list does not answer; the last list stays in use.' },
  hostListWentBack: {
    id: 5002,
    level: 'warn',
    text: 'The host list has shown only an older revision for some time; that revision is now used.',
  },
  peerCallRefused: { id: 6001, level: 'warn', text: 'A peer call had no valid signature; compare the peer keys.' },
  peerKeysChanged: { id: 6002, level: 'info', text: 'The peer keys were reloaded and are in use.' },
  settingsUnreadable: { id: 6003, level: 'error', text: 'The settings could not be reloaded; the old ones stay.' },
  peerMessageInvalid: { id: 6004, level: 'warn', text: 'A signed datagram is not a message; compare the versions.' },
  peerDatagramRefused: { id: 6005, level: 'debug', text: 'A datagram was dropped: size, signature or socket error.' },
  memberChanged: { id: 7001, level: 'info', text: 'The state of another entry host changed as this host sees it.' },
  domainChanged: { id: 7002, level: 'warn', text: 'The state of another failure domain changed as this host sees it.' },
  hostPaused: { id: 7003, level: 'warn', text: 'This process was paused and checks the state of its peers again.' },
  configLearnt: { id: 4004, level: 'info', text: 'The heads of all documents are known; the host becomes ready.' },
  configFindingCleared: { id: 4005, level: 'info', text: 'The document in the store matches the one in force again.' },
  plannerStarted: { id: 8001, level: 'info', text: 'This host now sends the orders to the engines of a pool.' },
  plannerStopped: { id: 8002, level: 'info', text: 'This host no longer sends the orders to the engines of a pool.' },
  engineOrdered: { id: 8003, level: 'info', text: 'An engine accepted an order.' },
  engineOrderFailed: {
    id: 7004,
    level: 'warn',
    text: 'An engine did not accept an order; the next round sends it again.',
  },
  requestEnded: { id: 2201, level: 'info', text: 'A request of a route ended; see outcome, reason and times.' },
  attemptEnded: {
    id: 2202,
    level: 'info',
    text: 'An attempt gave no answer to pass on; see the decision and the counts behind it.',
  },
  callerMessageInvalid: { id: 2203, level: 'info', text: 'A message of a caller could not be parsed.' },
  stageOwnerLost: {
    id: 2204,
    level: 'warn',
    text: 'The host that fills the batches of a pool did not answer; the next host gets the pieces.',
  },
  requestDelayed: {
    id: 2205,
    level: 'info',
    text: 'The scheduler expects a request to be late or refuses it; see the loads of the stage pools.',
  },
  schedulerLost: {
    id: 2206,
    level: 'warn',
    text: 'The scheduler of a region did not answer in time; the next host is asked.',
  },
  requestDenied: {
    id: 2207,
    level: 'info',
    text: 'A request was refused before it was sent to a server; `reason` says what it lacks or why it is refused now.',
  },
  batchOwnerStarted: { id: 2301, level: 'info', text: 'This host now fills the batches of a pool.' },
  batchEnded: { id: 2302, level: 'info', text: 'A call to a stage server ended.' },
  batchFailed: { id: 2303, level: 'info', text: 'A call to a stage server failed; its pieces wait for another call.' },
  releaseFailed: {
    id: 2304,
    level: 'info',
    text: 'A stage server did not release results; they use its memory until they expire.',
  },
  routeTableApplied: { id: 4101, level: 'info', text: 'A newer route table is in force.' },
  routeTableUnreadable: { id: 4102, level: 'error', text: 'The route table in the store cannot be parsed.' },
  routeTableRegressed: { id: 4103, level: 'error', text: 'An older route table was offered and is not applied.' },
  serverListed: { id: 5101, level: 'info', text: 'A backend server registered itself or changed its entry.' },
  serverGone: { id: 5102, level: 'info', text: 'A backend server gets no more work.' },
  serverEntryIgnored: { id: 5103, level: 'warn', text: 'An entry of the catalogue names no server that can be used.' },
  serversLearnt: { id: 5104, level: 'info', text: 'Another host sent a newer list of servers.' },
  serverLeaving: {
    id: 5105,
    level: 'info',
    text: 'A backend server announced in an answer that it is leaving; this host sends it no more work.',
  },
  serverRests: { id: 5106, level: 'info', text: 'A backend server asked to get no requests for a time.' },
  catalogueSourceChanged: {
    id: 5107,
    level: 'info',
    text: 'This host gets changes of the store from another source: the store itself, or relays of its failure domain.',
  },
  catalogueBehind: {
    id: 5108,
    level: 'info',
    text: 'A relay is ahead of this host, which asks it for the missing changes.',
  },
  serverLimited: {
    id: 5109,
    level: 'info',
    text: 'A backend server stated how many requests a second it takes from all hosts; `learntFrom` says how this host knows.',
  },
  serverUnlimited: {
    id: 5110,
    level: 'info',
    text: 'The limit that a backend server had stated has ended; `reason` says how this host knows.',
  },
  hostListed: { id: 7101, level: 'info', text: 'Another host of the system registered itself.' },
  hostDropped: { id: 7102, level: 'info', text: 'The registration of another host ended.' },
  hostLeaseLost: { id: 7103, level: 'warn', text: 'The lease of this host may have expired; it registers again.' },
  peerSilent: { id: 7104, level: 'warn', text: 'Another host does not answer; it is assigned no duties for a while.' },
  plannerRoundFailed: { id: 8005, level: 'warn', text: 'The store or the engines did not answer a planning round.' },
} as const satisfies Record<string, LogEventSpec>;

/** Name of a catalogued event. */
export type LogEventName = keyof typeof LOG_EVENTS;
