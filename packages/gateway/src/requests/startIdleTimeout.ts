import type { Clock, Timer } from '@bergamotcove/clock';

/** Idle timeout of one attempt. */
export interface IdleTimeout {
  /** Aborted when the timeout expires. */
  readonly signal: AbortSignal;
  /** Whether the timeout has expired. Then the retry is already charged to the budget. */
  readonly expired: boolean;
  /** Restarts the timeout with the given limit because the server sent data. */
  restart(limitMs: number): void;
  close(): void;
}

/** Options of {@link startIdleTimeout}. */
export interface IdleTimeoutOptions {
  readonly clock: Clock;
  /** Limit of the time to the first byte; undefined for an attempt that must not be abandoned. */
  readonly limitMs: number | undefined;
  /** Called when the limit has passed: charges the retry to the budget, or returns false to let the attempt go on. */
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
 * Starts the idle timeout of an attempt. Call it when the attempt is sent.
 *
 * @param options - clock, limit and confirmation callback
 * @returns the timeout; close it when the attempt has ended
 */
export default function startIdleTimeout(options: IdleTimeoutOptions): IdleTimeout {
  return new ActivityTimeout(options);
}
