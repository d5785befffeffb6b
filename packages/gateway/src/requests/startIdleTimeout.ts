import type { Clock, Timer } from '@bergamotcove/clock';

/** Watches one attempt for a server that sends nothing. */
export interface IdleTimeout {
  /** Aborted when the attempt is given up. */
  readonly signal: AbortSignal;
  /** Whether the attempt was given up, and its repetition is paid for. */
  readonly expired: boolean;
  /** The server sent something; it may be silent for the given time from now. */
  restart(limitMs: number): void;
  close(): void;
}

/** Options of {@link startIdleTimeout}. */
export interface IdleTimeoutOptions {
  readonly clock: Clock;
  /** Time to the first byte; undefined for an attempt that must not be given up. */
  readonly limitMs: number | undefined;
  /** Asked before the attempt is given up: takes room for the repetition, or lets the server have more time. */
  readonly mayExpire: () => boolean;
}

class ActivityTimeout implements IdleTimeout {
  private readonly abort = new AbortController();

  private timer: Timer | undefined;

  constructor(private readonly options: IdleTimeoutOptions) {
    this.arm(options.limitMs);
  }

  get signal(): AbortSignal {
    return this.abort.signal;
  }

  get expired(): boolean {
    return this.abort.signal.aborted;
  }

  restart(limitMs: number): void {
    if (this.options.limitMs !== undefined) {
      this.arm(limitMs);
    }
  }

  close(): void {
    this.timer?.close();
  }

  private arm(limitMs: number | undefined): void {
    this.timer?.close();
    if (limitMs !== undefined && !this.expired) {
      this.timer = this.options.clock.schedule(limitMs, () => {
        if (this.options.mayExpire()) {
          this.abort.abort();
        }
      });
    }
  }
}

/**
 * Watches an attempt from the moment at which it is sent.
 *
 * @param options - limit, and who decides
 * @returns the watch; close it when the attempt has ended
 */
export default function startIdleTimeout(options: IdleTimeoutOptions): IdleTimeout {
  return new ActivityTimeout(options);
}
