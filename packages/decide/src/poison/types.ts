/** A crash of a backend server, with the requests that are known to have run on it. */
export interface Crash {
  readonly serverId: string;
  /** Identifies the process of a server that keeps its id across restarts; undefined when it is not known. */
  readonly startId: string | undefined;
  /** Monotonic time of the crash. */
  readonly atMs: number;
  /** Fingerprints of the requests that ran on the server. */
  readonly fingerprints: ReadonlySet<string>;
  /** Those of {@link fingerprints} whose attempts may have ended for another reason than the crash. */
  readonly doubtful: ReadonlySet<string>;
  /** Fingerprints of the requests that the server answered last. */
  readonly answered: ReadonlySet<string>;
}

/** Crashes and blocked fingerprints that one host knows. */
export interface PoisonState {
  readonly crashes: readonly Crash[];
  /** Monotonic time at which each block ends, by fingerprint. */
  readonly blocks: ReadonlyMap<string, number>;
}

/** A server crashed while requests ran on it. */
export interface CrashEvent {
  readonly type: 'crash';
  readonly serverId: string;
  /** Identifies the process of a server that keeps its id across restarts, if it is known. */
  readonly startId?: string;
  /** Time since the crash, if it was detected later. */
  readonly agoMs?: number;
  /** Fingerprints of the requests that ran on the server. */
  readonly fingerprints: readonly string[];
  /** Those of {@link fingerprints} whose attempts may have ended for another reason than the crash. */
  readonly doubtful?: readonly string[];
  /** Fingerprints of the requests that the server answered last. */
  readonly answered?: readonly string[];
}

/** Event that changes which fingerprints are suspected or blocked. */
export type PoisonEvent =
  | CrashEvent
  /** Another host blocked the fingerprint. */
  | { readonly type: 'block'; readonly fingerprint: string; readonly remainingMs: number }
  /** Enough servers have answered the request around a series of crashes, so that these do not count against it. */
  | { readonly type: 'cleared'; readonly fingerprint: string }
  /** An operator lifted the block of the fingerprint. */
  | { readonly type: 'release'; readonly fingerprint: string };

/** Result of one event: the new state and the newly blocked fingerprints. */
export interface PoisonStep {
  readonly state: PoisonState;
  readonly blocked: readonly string[];
}

/** A request that is suspected of having caused crashes. */
export interface PoisonSuspect {
  readonly fingerprint: string;
  /** Whether the crashes are spread over time, so that successful runs between them can clear the request. */
  readonly isSpread: boolean;
  /** Monotonic time from which successful runs count in favour of the request. */
  readonly sinceMs: number;
  /** Number of successful runs that clears the request. */
  readonly clearingRuns: number;
}

/** State after a crash, and the requests that are suspected of causing it. */
export interface CrashStep {
  readonly state: PoisonState;
  readonly suspects: readonly PoisonSuspect[];
}
