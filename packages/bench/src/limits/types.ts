/** A fleet of hosts before one pool of servers, some of which state rate limits. */
export interface LimitModel {
  readonly seed: number;
  readonly hosts: number;
  readonly regions: number;
  readonly servers: number;
  /** Servers that state the limit in each of their answers, from the start on. */
  readonly limitedServers: number;
  readonly requestsPerSecond: number;
  /** Limit of one server. */
  readonly limitPerSecond: number;
  readonly lengthMs: number;
  /** Mean time between two restarts of a host; Infinity for none. */
  readonly restartEveryMs: number;
  /** Time between two kills of the host that hands out the sends of the first server; Infinity for none. */
  readonly ownerKillEveryMs: number;
}

/** What happened in a run of the model. */
export interface LimitModelResult {
  /** Most requests that a server with a limit got in 4 s, from 4 s after its first statement. */
  readonly peak: number;
  /** Share of the limits that was used from then on. */
  readonly usedShare: number;
  readonly requests: number;
  /** Requests that were refused, because the turn at the servers with limits came too late. */
  readonly refused: number;
  /** Refused requests whose callers came back when they were told to, once each, and those that were served then. */
  readonly returned: number;
  readonly servedOnReturn: number;
  /** Messages between hosts about limits a second: of the fleet, and to the host that got most. */
  readonly messagesPerSecond: number;
  readonly mostMessagesPerSecond: number;
}
