/** One process of a backend server. */
export interface ServerProcess {
  readonly serverId: string;
  /** Identifies the process of a server that keeps its id across restarts. */
  readonly startId: string;
  /** Pool of the server; undefined when it is not known. */
  readonly pool?: string | undefined;
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
  /** Keys of the parts of its prompt that other requests may share; empty for an attempt without a prompt. */
  readonly parts: readonly string[];
}

/** A prompt on a server that crashed before it had produced output for the prompt for some time. */
export interface CrashedPrompt {
  /** Fingerprint of the request. */
  readonly fingerprint: string;
  /** Keys of the parts that other requests may share. */
  readonly parts: readonly string[];
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
  /** Prompts of those requests, without the ones that are known to be harmless; undefined when there are none. */
  readonly prompts?: readonly CrashedPrompt[];
}
