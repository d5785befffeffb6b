/** What is known of a server process that started or recovered. */
export interface PaceState {
  /** Monotonic time of the first of a series of statements of a cold time; undefined after one that it is warm. */
  readonly statedSinceMs: number | undefined;
  /** Monotonic time until which the server says that it is cold. */
  readonly statedUntilMs: number;
  /** Monotonic time until which it counts as cold whatever it says. */
  readonly assumedUntilMs: number;
  /** Monotonic time of the last start or reset. Answers to requests that were sent before it prove nothing. */
  readonly resetAtMs: number;
  /** Rate after the cold time as a multiple of the first one; Infinity once the limit has ended. */
  readonly growth: number;
}

/** An observation of a server. */
export type PaceEvent =
  /** Its entry states a remaining cold time, 0 when it is warm. */
  | { readonly type: 'stated'; readonly coldMs: number }
  /** It counts as cold for a time, because it certainly starts again or was not in use. */
  | { readonly type: 'assumed'; readonly coldMs: number }
  /** It may have started again: a connection broke, or it was silent. */
  | { readonly type: 'suspected' }
  /** Answers that were as quick as those of warm servers. */
  | { readonly type: 'quick'; readonly count: number; readonly sentAtMs: number }
  /** A slow answer or a refusal, which says nothing of a server without a limit. */
  | { readonly type: 'strained' };

/** Bound on the requests to a cold server in one second: its rate times `overage`, and `slack`. */
export interface ColdBound {
  readonly overage: number;
  readonly slack: number;
}

/** Rates of the servers of a pool. */
export interface PaceRates {
  /** Rate while a server is cold; 0 when it gets nothing. */
  readonly cold: number;
  /** Rate at the end of the cold time. */
  readonly first: number;
  /** Rate from which on the limit is no constraint. */
  readonly last: number;
}

/** Cold time and rates of the servers of a pool. */
export interface PaceSpec {
  readonly durationMs: number;
  readonly rates: PaceRates;
}
