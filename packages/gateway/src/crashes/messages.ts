/** Method that tells a keeper of a crash. */
export const REPORT_CRASH = 'crashes.report';
/** Method that tells a host of a blocked request. */
export const BLOCK_REQUEST = 'crashes.block';

/** Method that asks a host how often it has seen a request run well. */
export const COUNT_RUNS = 'crashes.runs';

/** A crash of a server, as one host tells it to another. */
export interface CrashReport {
  readonly serverId: string;
  /** Distinguishes the starts of a server that keeps its id. */
  readonly startId: string;
  readonly agoMs: number;
  /** Requests that ran on it. */
  readonly fingerprints: readonly string[];
  /** Those of them whose end may have another cause. */
  readonly doubtful: readonly string[];
  /** Requests that it answered last; undefined from hosts of earlier versions. */
  readonly answered?: readonly string[];
}

/** Parameters of {@link COUNT_RUNS}. */
export interface RunQuery {
  readonly fingerprint: string;
  /** Age of the oldest runs that count. */
  readonly sinceAgoMs: number;
}

/** A request that is not sent to servers. */
export interface BlockNotice {
  readonly fingerprint: string;
  readonly remainingMs: number;
  /** Latest release of the request that was known when it was blocked. */
  readonly release?: string;
}
