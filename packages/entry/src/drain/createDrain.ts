import type { Clock } from '@bergamotcove/clock';
import type { Logger } from '@bergamotcove/log';

/** Options of {@link createDrain}. */
export interface DrainOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Time until the balancer has noticed that the host is not ready; its requests are served until then. */
  readonly balancerLagMs: number;
  /** Time limit for everything after the balancer lag. */
  readonly timeoutMs: number;
  /** Called first; readiness turns 503. */
  readonly onStart: () => void;
  readonly inFlight: () => number;
  /** Resolves when no request is in flight. */
  readonly idle: () => Promise<void>;
  /**
   * Makes the outcomes durable or hands them to other hosts; resolves to the number that is left. A host without
   * outcomes of its own has none, and keeps no time for it.
   */
  readonly flush?: (limitMs: number) => Promise<number>;
  /** Stops listening and waits for open responses. */
  readonly close: () => Promise<void>;
  /** Drops what is still open. */
  readonly abort: () => void;
}

/** Part of the time limit that is kept for the outcomes when requests do not finish. */
const FLUSH_RESERVE_RATIO = 0.25;
const MAX_FLUSH_MS = 2_000;

class Drain {
  private started: Promise<void> | undefined;

  constructor(private readonly options: DrainOptions) {}

  run(): Promise<void> {
    this.started ??= this.perform();
    return this.started;
  }

  private async perform(): Promise<void> {
    const { clock, logger, balancerLagMs, timeoutMs, flush } = this.options;
    this.options.onStart();
    logger.event('drainStarted', { inFlight: this.options.inFlight() });
    await this.pause(balancerLagMs);
    const endsAtMs = clock.monotonicMs() + timeoutMs;
    const reserveMs = flush === undefined ? 0 : Math.min(MAX_FLUSH_MS, timeoutMs * FLUSH_RESERVE_RATIO);
    const idle = await this.within(timeoutMs - reserveMs, this.options.idle());
    const limitMs = Math.min(MAX_FLUSH_MS, Math.max(0, endsAtMs - clock.monotonicMs()));
    const unsettled = flush === undefined ? 0 : await this.within(limitMs, flush(limitMs));
    const clean = idle !== undefined && unsettled === 0;
    logger.event(clean ? 'drainFinished' : 'drainTimedOut', { inFlight: this.options.inFlight(), unsettled });
    const closed = await this.within(Math.max(0, endsAtMs - clock.monotonicMs()), this.options.close());
    if (closed === undefined) {
      this.options.abort();
    }
  }

  /** Resolves to undefined when the time is over first. */
  private within<Value>(limitMs: number, promise: Promise<Value>): Promise<Value | true | undefined> {
    return new Promise((resolve, reject) => {
      const timer = this.options.clock.schedule(limitMs, () => resolve(undefined));
      promise.then((value) => {
        timer.close();
        resolve(value ?? true);
      }, reject);
    });
  }

  private pause(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.options.clock.schedule(delayMs, resolve);
    });
  }
}

/**
 * Creates the planned stop of an entry host: readiness turns 503, the balancer lag is waited out, requests in flight
 * finish, outcomes become durable, and the host closes. Every call joins the one stop.
 *
 * @param options - parts of the host and time limits
 * @returns starts the stop; resolves when the host is closed
 */
export default function createDrain(options: DrainOptions): () => Promise<void> {
  const drain = new Drain(options);
  return () => drain.run();
}
