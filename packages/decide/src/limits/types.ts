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
  /** Monotonic time of the answer. Without a limit, the time at which the answered request was sent. */
  readonly atMs: number;
}

/** A request that needs permission to be sent to a server with a limit. */
export interface SendNeed {
  /** Requests of the same queue can use the same servers. */
  readonly queue: string;
  /** Identifies the request, also when its caller sends it again. */
  readonly key: string;
  /** Servers that it may be sent to, the preferred one first. */
  readonly serverIds: readonly string[];
  /** Time that it can wait for its turn; undefined when other servers can serve it. */
  readonly maxWaitMs?: number;
}

/** Permission to send a request, or the time to ask again. */
export type SendDecision =
  | { readonly type: 'granted'; readonly serverId: string }
  /** With `maxWaitMs` a turn is kept for the request, or for the caller that sends it again then. */
  | { readonly type: 'later'; readonly atMs: number };
