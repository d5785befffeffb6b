/** Severity of a log event. */
export type LogLevel = 'error' | 'warn' | 'info' | 'debug';

/** One entry of the event catalogue. */
export interface LogEventSpec {
  readonly id: number;
  readonly level: LogLevel;
  /** What happened, and what an operator can do about it. */
  readonly text: string;
}

/** Every event that the system logs. Ids are stable: a removed event's id is not used again. */
export const LOG_EVENTS = {
  hostStarted: { id: 1001, level: 'info', text: 'The entry host listens for callers and peers.' },
  hostReady: { id: 1002, level: 'info', text: 'The entry host has its configuration and accepts requests.' },
  drainStarted: { id: 1003, level: 'info', text: 'A planned stop began; readiness turned 503.' },
  drainFinished: { id: 1004, level: 'info', text: 'All requests in flight finished; the process exits.' },
  drainTimedOut: { id: 1005, level: 'warn', text: 'The drain time ran out with requests in flight.' },
  processFailed: { id: 1006, level: 'error', text: 'An unexpected error reached the top of the process.' },
  logLinesDropped: {
    id: 1007,
    level: 'warn',
    text: 'More lines than the limit came in a second; `lines` were not written.',
  },
  settingsApplied: {
    id: 1008,
    level: 'info',
    text: 'Changed settings are in force; those in `needRestart` only after a restart.',
  },
  requestRefused: { id: 2001, level: 'info', text: 'A request ended without an answer; see its outcome.' },
  requestRejected: { id: 2002, level: 'debug', text: 'A request had wrong input and was not started.' },
  attemptFailed: { id: 2003, level: 'debug', text: 'An attempt on a backend server failed.' },
  requestPoisoned: {
    id: 2101,
    level: 'warn',
    text: 'A request crashes servers and is blocked on all hosts; release it with releasePoison once the cause is known.',
  },
  serverCrashNoted: {
    id: 2102,
    level: 'info',
    text: 'A backend server ended under requests; `source` tells who saw it, `fingerprints` what ran on it.',
  },
  serverLossUnproved: {
    id: 2103,
    level: 'info',
    text: 'An attempt lost its server, which is not known to have ended; `reason` tells why the loss is no crash.',
  },
  blockNotStored: {
    id: 2104,
    level: 'warn',
    text: 'A blocked request could not be written to the store; it is tried again.',
  },
  requestUnblocked: {
    id: 2105,
    level: 'info',
    text: 'A blocked request may be sent again, because an operator has released it.',
  },
  blockMissing: {
    id: 2108,
    level: 'info',
    text: 'The key of a blocked request is missing in the store, and nobody has released it; it is written again.',
  },
  blockUnreadable: {
    id: 2109,
    level: 'warn',
    text: 'The key of a blocked request cannot be read; another version wrote it, or someone else did.',
  },
  requestCleared: {
    id: 2106,
    level: 'info',
    text: 'Crashes under a request do not count any more: servers have run it well `runs` times in the meantime.',
  },
  requestSuspected: {
    id: 2107,
    level: 'info',
    text: 'Servers crashed under a request that is not blocked, because it has also run well; `crashes` and `runs` tell how often.',
  },
  storeUnavailable: { id: 3001, level: 'warn', text: 'The configuration store does not answer.' },
  storeEraAdvanced: {
    id: 3003,
    level: 'warn',
    text: 'The store came back from an older copy; this host reads it afresh and writes its own keys again.',
  },
  storeEraIgnored: {
    id: 3004,
    level: 'warn',
    text: 'The era of an answer of the store does not count; `problem` tells why. Told once until a good one comes.',
  },
  serverEntryOutdated: {
    id: 3005,
    level: 'info',
    text: 'The copy of the store lists a server that has left or was removed since; it is not used.',
  },
  storeRecovered: { id: 3002, level: 'info', text: 'The configuration store answers again.' },
  configApplied: { id: 4001, level: 'info', text: 'A newer version of a service document is in force.' },
  configInvalid: { id: 4002, level: 'error', text: 'A service document in the store does not match the schema.' },
  configRegressed: {
    id: 4003,
    level: 'error',
    text: 'An older version, or other content of the same version, is offered and not followed.',
  },
  hostListUnavailable: { id: 5001, level: 'warn', text: 'The host list does not answer; the last list stays in use.' },
  hostListWentBack: {
    id: 5002,
    level: 'warn',
    text: 'The host list shows only an older revision for a while and is followed.',
  },
  peerCallRefused: { id: 6001, level: 'warn', text: 'A peer call had no valid signature; compare the peer keys.' },
  peerKeysChanged: { id: 6002, level: 'info', text: 'The peer keys were read again and are in use.' },
  settingsUnreadable: { id: 6003, level: 'error', text: 'The settings could not be read again; the old ones stay.' },
  peerMessageInvalid: { id: 6004, level: 'warn', text: 'A signed datagram is not a message; compare the versions.' },
  peerDatagramRefused: { id: 6005, level: 'debug', text: 'A datagram was dropped: size, signature or socket.' },
  memberChanged: { id: 7001, level: 'info', text: 'The state of another entry host changed in this view.' },
  domainChanged: { id: 7002, level: 'warn', text: 'The state of another failure domain changed in this view.' },
  hostPaused: { id: 7003, level: 'warn', text: 'This process did not run for a while and judges its peers anew.' },
  configLearnt: { id: 4004, level: 'info', text: 'The heads of all documents are known; the host turns ready.' },
  configFindingCleared: { id: 4005, level: 'info', text: 'The store agrees again with the document in force.' },
  plannerStarted: { id: 8001, level: 'info', text: 'This host gives the orders to the engines of a pool.' },
  plannerStopped: { id: 8002, level: 'info', text: 'This host no longer gives the orders to the engines of a pool.' },
  engineOrdered: { id: 8003, level: 'info', text: 'An engine accepted an order.' },
  engineOrderFailed: {
    id: 7004,
    level: 'warn',
    text: 'An engine did not take an order; the next round gives it again.',
  },
  requestEnded: { id: 2201, level: 'info', text: 'A request of a route ended; see outcome, reason and times.' },
  attemptEnded: {
    id: 2202,
    level: 'info',
    text: 'An attempt gave no answer to pass on; see what was decided and from which counts.',
  },
  callerMessageInvalid: { id: 2203, level: 'info', text: 'A message of a caller could not be read.' },
  stageOwnerLost: {
    id: 2204,
    level: 'warn',
    text: 'The host that fills the batches of a pool did not answer; the next one gets the pieces.',
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
    text: 'A request was answered before it was sent anywhere; `reason` names what it lacks or why not now.',
  },
  batchOwnerStarted: { id: 2301, level: 'info', text: 'This host fills the batches of a pool.' },
  batchEnded: { id: 2302, level: 'info', text: 'A call to a stage server ended.' },
  batchFailed: { id: 2303, level: 'info', text: 'A call to a stage server failed; its pieces wait for another one.' },
  releaseFailed: {
    id: 2304,
    level: 'info',
    text: 'A stage server did not release results; they take up room until they expire.',
  },
  routeTableApplied: { id: 4101, level: 'info', text: 'A newer route table is in force.' },
  routeTableUnreadable: { id: 4102, level: 'error', text: 'The route table in the store cannot be read.' },
  routeTableRegressed: { id: 4103, level: 'error', text: 'An older route table is offered and not followed.' },
  serverListed: { id: 5101, level: 'info', text: 'A backend server registered itself or changed its entry.' },
  serverGone: { id: 5102, level: 'info', text: 'A backend server gets no more work.' },
  serverEntryIgnored: { id: 5103, level: 'warn', text: 'An entry of the catalogue names no server that can be used.' },
  serversLearnt: { id: 5104, level: 'info', text: 'Another host knew a newer list of servers.' },
  serverLeaving: {
    id: 5105,
    level: 'info',
    text: 'A backend server said in an answer that it leaves; it gets no more work from this host.',
  },
  serverRests: { id: 5106, level: 'info', text: 'A backend server asked for no requests for a time.' },
  catalogueSourceChanged: {
    id: 5107,
    level: 'info',
    text: 'This host learns of changes in the store from another source: the store itself, or relays of its failure domain.',
  },
  catalogueBehind: {
    id: 5108,
    level: 'info',
    text: 'A relay is ahead of this host, which asks it for what is missing.',
  },
  hostListed: { id: 7101, level: 'info', text: 'Another host of the system registered itself.' },
  hostDropped: { id: 7102, level: 'info', text: 'The registration of another host ended.' },
  hostLeaseLost: { id: 7103, level: 'warn', text: 'The registration of this host may have lapsed; it is made anew.' },
  peerSilent: { id: 7104, level: 'warn', text: 'Another host does not answer; it gets no duties for a while.' },
  plannerRoundFailed: { id: 8005, level: 'warn', text: 'The store or the engines did not answer a planning round.' },
} as const satisfies Record<string, LogEventSpec>;

/** Name of a catalogued event. */
export type LogEventName = keyof typeof LOG_EVENTS;
