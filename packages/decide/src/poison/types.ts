import type { CrashedPrompt } from './processTypes.js';

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
  /** Pool of the server; undefined when it is not known. */
  readonly pool: string | undefined;
  /** Keys of the shared parts of the prompts that may have caused the crash, by fingerprint of the request. */
  readonly prompts: ReadonlyMap<string, readonly string[]>;
}

/** A part of a prompt that was in several crashes. */
export interface CrashingPart {
  readonly part: string;
  /** Crashes under prompts with the part since the last output for one. */
  readonly crashes: number;
  /** Different requests in these crashes that have the part. */
  readonly requests: number;
  /** Prompts of the pool that servers produced output for in the same time. */
  readonly outputs: number;
  /** Prompts without the part that were lost in crashes in the same time. */
  readonly losses: number;
  /** Probability of being in that many crashes, and never with output, for a part without influence. */
  readonly chance: number;
}

/** Output of the servers of a pool around its crashes. */
export interface PartEvidence {
  /** Monotonic time of the latest output for a prompt with a part that the server survived; undefined without one. */
  readonly lastOutputAtMs: (part: string) => number | undefined;
  /** Prompts whose first output came between two crashes, given by their monotonic times. */
  readonly countOutputs: (fromMs: number, toMs: number) => number;
}

/** Crashes that one host knows, and the blocked fingerprints and keys of parts of prompts. */
export interface PoisonState {
  readonly crashes: readonly Crash[];
  /** Monotonic time at which each block ends, by fingerprint or key of a part. */
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
  /** Pool of the server, if it is known. */
  readonly pool?: string;
  /** Prompts that may have caused the crash. */
  readonly prompts?: readonly CrashedPrompt[];
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
