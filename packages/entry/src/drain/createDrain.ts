import type { Clock } from '@bergamotcove/clock';
import type { Logger } from '@bergamotcove/log';

/** Options of {@link createDrain}. */
export interface DrainOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Time until the load balancer detects that the host is not ready; its requests are served until then. */
  readonly balancerLagMs: number;
  /** Time limit for everything after the balancer lag. */
  readonly timeoutMs: number;
  /** Called first; the readiness endpoint answers 503 from then on. */
  readonly onStart: () => void;
  readonly inFlight: () => number;
  /** Resolves when no request is in flight. */
  readonly idle: () => Promise<void>;
  /** Answers the requests that are still open when the time limit passes; resolves when the answers are sent. */
  readonly endOpen?: () => Promise<void>;
  /**
   * Makes the outcomes durable or hands them to other hosts; resolves to the number that is left. Undefined for a host
   * that keeps no outcomes; no time is reserved then.
   */
  readonly flush?: (limitMs: number) => Promise<number>;
  /** Stops listening and waits for open responses. */
  readonly close: () => Promise<void>;
  /** Drops the connections that are still open. */
  readonly abort: () => void;
}

/** Share of the time limit that is reserved for flushing the outcomes when requests do not finish. */
const FLUSH_RESERVE_RATIO = 0.25;
const MAX_FLUSH_MS = 2_000;

class Drain {
  private started: Promise<void> | undefined;

  constructor(private readonly options: DrainOptions) {}

  run(): Promise<void> {
    this.started ??= this.stopHost();
    return this.started;
  }

  private async stopHost(): Promise<void> {
    const { clock, logger, balancerLagMs, timeoutMs, flush } = this.options;
    this.options.onStart();
    logger.event('drainStarted', { inFlight: this.options.inFlight() });
    await this.pause(balancerLagMs);
    const endsAtMs = clock.monotonicMs() + timeoutMs;
    const reserveMs = flush === undefined ? 0 : Math.min(MAX_FLUSH_MS, timeoutMs * FLUSH_RESERVE_RATIO);
    const idle = await this.withTimeout(timeoutMs - reserveMs, this.options.idle());
    if (idle === undefined) {
      await this.options.endOpen?.();
    }
    const flushLimitMs = Math.min(MAX_FLUSH_MS, Math.max(0, endsAtMs - clock.monotonicMs()));
    const unsettled = flush === undefined ? 0 : await this.withTimeout(flushLimitMs, flush(flushLimitMs));
    const clean = idle !== undefined && unsettled === 0;
    logger.event(clean ? 'drainFinished' : 'drainTimedOut', { inFlight: this.options.inFlight(), unsettled });
    const closed = await this.withTimeout(Math.max(0, endsAtMs - clock.monotonicMs()), this.options.close());
    if (closed === undefined) {
      this.options.abort();
    }
  }

  /** Resolves to undefined when the time limit passes first, and to true when the promise has no value. */
  private withTimeout<Value>(limitMs: number, promise: Promise<Value>): Promise<Value | true | undefined> {
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
 * Creates the graceful shutdown of a host: the readiness endpoint answers 503, the host waits for the balancer lag,
 * requests in flight finish, outcomes become durable, and the host closes. Repeated calls share one shutdown.
 *
 * @param options - parts of the host and time limits
 * @returns a function that starts the shutdown and resolves when the host is closed
 */
export default function createDrain(options: DrainOptions): () => Promise<void> {
  const drain = new Drain(options);
  return () => drain.run();
}
