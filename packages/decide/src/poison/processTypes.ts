/** One process of a backend server. */
export interface ServerProcess {
  readonly serverId: string;
  /** Identifies the process of a server that keeps its id across restarts. */
  readonly startId: string;
}

/** How an attempt lost its server. */
export type LossKind =
  /** The connection was reset. */
  | 'reset'
  /** The server sent nothing, or nothing that could be parsed, until this host abandoned the attempt. */
  | 'silent'
  /** The request ended first, while the server may still have been processing it. */
  | 'abandoned';

/** How a process ended, according to the list of servers. */
export type ProcessEnd =
  /** Its entry was removed. */
  | 'removed'
  /** Another process has taken its id or address. */
  | 'replaced'
  /** It had announced that it leaves. */
  | 'left';

/** An attempt in progress on a server process. */
export interface RunningAttempt {
  /** Fingerprints of its requests; one call to a stage server can hold pieces of several requests. */
  readonly fingerprints: readonly string[];
}

/** Crash of a server process, with the requests that may have caused it. */
export interface ProcessCrash extends ServerProcess {
  /** Monotonic time of the crash. */
  readonly atMs: number;
  /** Fingerprints of the requests that ran on the process. */
  readonly fingerprints: readonly string[];
  /** Those that may have ended for another reason: the server had begun to answer them, or had stopped responding. */
  readonly doubtful: readonly string[];
  /** Fingerprints of the requests that it answered last; one of them may still have caused the crash. */
  readonly answered: readonly string[];
}
