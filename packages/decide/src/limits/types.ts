/** A rate limit that a server has stated for the requests of all hosts together. */
export interface StatedLimit {
  readonly requestsPerSecond: number;
  /** Start of the process that stated it; another process has no limit until it states one. */
  readonly startedAtMs: number;
  /** Monotonic time of the first statement. */
  readonly sinceMs: number;
  /** Monotonic time of the latest statement. */
  readonly statedAtMs: number;
}

/** What an answer of a server, or another host, says about its limit. */
export interface LimitStatement {
  /** Undefined when the server states no limit. */
  readonly requestsPerSecond: number | undefined;
  /** Start of the process that answered. */
  readonly startedAtMs: number;
  /** Monotonic time at which the answered request was sent. */
  readonly sentAtMs: number;
}
