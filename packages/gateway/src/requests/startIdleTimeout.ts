import type { Clock, Timer } from '@bergamotcove/clock';

/** Idle timeout of one attempt. A silent server keeps the attempt until it is abandoned. */
export interface IdleTimeout {
  /** Aborted when the attempt is abandoned. */
  readonly signal: AbortSignal;
  /** Restarts the timeout with the given limit because the server sent data. */
  restart(limitMs: number): void;
  /** Ends the attempt because another server has got the request. */
  abandon(): void;
  close(): void;
}

/** Options of {@link startIdleTimeout}. */
export interface IdleTimeoutOptions {
  readonly clock: Clock;
  /** Limit of the time to the first byte; undefined for an attempt that must not be abandoned. */
  readonly limitMs: number | undefined;
  /**
   * Called when the limit has passed: looks for a server that takes over. It is called again a while after it has
   * resolved, as long as the server is silent. The signal is aborted when the server sends data or the attempt ends.
   */
  readonly onSilent: (silence: AbortSignal) => Promise<void>;
}

/** Time between two searches for a server that takes over from a silent one. */
const SEARCH_PAUSE_MS = 500;

class ActivityTimeout implements IdleTimeout {
  private readonly abort = new AbortController();

  private silence = new AbortController();

  private timer: Timer | undefined;

  constructor(private readonly options: IdleTimeoutOptions) {
    this.arm(options.limitMs);
  }

  get signal(): AbortSignal {
    return this.abort.signal;
  }

  restart(limitMs: number): void {
    this.close();
    if (this.options.limitMs !== undefined && !this.signal.aborted) {
      this.silence = new AbortController();
      this.arm(limitMs);
    }
  }

  abandon(): void {
    this.timer?.close();
    this.abort.abort();
  }

  close(): void {
    this.timer?.close();
    this.silence.abort();
  }

  private arm(limitMs: number | undefined): void {
    const { signal } = this.silence;
    if (limitMs !== undefined && !signal.aborted && !this.signal.aborted) {
      this.timer = this.options.clock.schedule(limitMs, () => {
        const searchAgain = (): void => {
          if (!signal.aborted) {
            this.arm(SEARCH_PAUSE_MS);
          }
        };
        this.options.onSilent(signal).then(searchAgain, searchAgain);
      });
    }
  }
}

/**
 * Starts the idle timeout of an attempt. Call it when the attempt is sent.
 *
 * @param options - clock, limit and search for a server that takes over
 * @returns the timeout; close it when the attempt has ended
 */
export default function startIdleTimeout(options: IdleTimeoutOptions): IdleTimeout {
  return new ActivityTimeout(options);
}
