/** One crash of one backend server and the requests that ran on it, as far as known. */
export interface Crash {
  readonly serverId: string;
  /** Distinguishes the starts of a server that keeps its id; undefined when it is not known. */
  readonly startId: string | undefined;
  readonly atMs: number;
  readonly fingerprints: ReadonlySet<string>;
  /** Those of them whose end may have another cause. */
  readonly doubtful: ReadonlySet<string>;
  /** Requests that it answered last. */
  readonly answered: ReadonlySet<string>;
}

/** Suspicions of one host. */
export interface PoisonState {
  readonly crashes: readonly Crash[];
  /** Monotonic time at which each block ends, by fingerprint. */
  readonly blocks: ReadonlyMap<string, number>;
}

/** A server ended under requests. */
export interface CrashEvent {
  readonly type: 'crash';
  readonly serverId: string;
  /** Distinguishes the starts of a server that keeps its id, where they are known. */
  readonly startId?: string;
  /** Time since it ended, when it was noticed later. */
  readonly agoMs?: number;
  readonly fingerprints: readonly string[];
  /** Those of them whose end may have another cause. */
  readonly doubtful?: readonly string[];
  /** Requests that it answered last. */
  readonly answered?: readonly string[];
}

/** Something that happened to a fingerprint. */
export type PoisonEvent =
  | CrashEvent
  /** Another host blocked the fingerprint. */
  | { readonly type: 'block'; readonly fingerprint: string; readonly remainingMs: number }
  /** Servers have run the request well since it was charged with crashes that came after one another. */
  | { readonly type: 'cleared'; readonly fingerprint: string }
  /** An operator released the fingerprint. */
  | { readonly type: 'release'; readonly fingerprint: string };

/** New state and the fingerprints that it blocks in addition. */
export interface PoisonStep {
  readonly state: PoisonState;
  readonly blocked: readonly string[];
}

/** A request that crashes speak against. */
export interface Charge {
  readonly fingerprint: string;
  /** Whether the crashes came after one another, so that answers between them can clear the request. */
  readonly isSpread: boolean;
  /** Monotonic time from which answers speak for the request. */
  readonly sinceMs: number;
  /** Answers that outweigh the crashes. */
  readonly clearingRuns: number;
}

/** State after a crash, and the requests that it speaks against. */
export interface CrashStep {
  readonly state: PoisonState;
  readonly charges: readonly Charge[];
}
