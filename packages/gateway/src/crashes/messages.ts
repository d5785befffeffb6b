import type { CrashedPrompt } from '@bergamotcove/decide';

/** Method that reports a crash to a collector. */
export const REPORT_CRASH = 'crashes.report';
/** Method that announces a blocked request to a host. */
export const BLOCK_REQUEST = 'crashes.block';

/** Method that asks a host for the number of successful runs of a request that it has observed. */
export const COUNT_RUNS = 'crashes.runs';

/** Method that asks a host what output it has seen around some crashes. */
export const SUMMARISE_OUTPUTS = 'crashes.outputs';

/** Parameters of {@link SUMMARISE_OUTPUTS}. */
export interface OutputParams {
  readonly pool: string;
  /** Keys of parts of prompts. */
  readonly parts: readonly string[];
  /** Ages of crashes in the pool, oldest first. */
  readonly crashAgesMs: readonly number[];
}

/** Answer to {@link SUMMARISE_OUTPUTS}. */
export interface OutputAnswer {
  /** For each part, the age of the latest first output for a prompt with it; null without one. */
  readonly lastOutputAgesMs: readonly (number | null)[];
  /** Prompts whose first output came between each crash and the next one. */
  readonly outputCounts: readonly number[];
}

/** Parameters of {@link REPORT_CRASH}: a crash of a server. */
export interface CrashReport {
  readonly serverId: string;
  /** Distinguishes the starts of a server that keeps its id. */
  readonly startId: string;
  /** Age of the crash when the report is sent. */
  readonly agoMs: number;
  /** Fingerprints of the requests that ran on the server. */
  readonly fingerprints: readonly string[];
  /** Those of them that may have ended for another reason. */
  readonly doubtful: readonly string[];
  /** Requests that the server answered last; undefined from hosts of earlier versions. */
  readonly answered?: readonly string[];
  /** Pool of the server; undefined from hosts of earlier versions. */
  readonly pool?: string;
  /** Prompts on the server that may have caused the crash; undefined without any, and from earlier versions. */
  readonly prompts?: readonly CrashedPrompt[];
}

/** Parameters of {@link COUNT_RUNS}. */
export interface RunQuery {
  readonly fingerprint: string;
  /** Age of the oldest run that counts. */
  readonly sinceAgoMs: number;
}

/** A block: requests that match it are not sent to servers. */
export interface BlockNotice {
  /** Fingerprint of the blocked request, or key of the blocked part of prompts. */
  readonly fingerprint: string;
  readonly remainingMs: number;
  /** Latest release of the request that was known when it was blocked; undefined without one. */
  readonly release?: string;
}
