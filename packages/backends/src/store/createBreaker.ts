import type { Clock } from '@bergamotcove/clock';

/** Circuit breaker: stops calls to a service that does not answer. */
export interface Breaker {
  /** Whether a call may be made now. A half-open breaker allows one trial call at a time. */
  allow(): boolean;
  record(result: 'ok' | 'failed'): void;
  state(): 'closed' | 'open' | 'half-open';
}

/** Options of {@link createBreaker}. */
export interface BreakerOptions {
  readonly clock: Clock;
  readonly random: () => number;
}

/** Consecutive failures that open the breaker. */
const FAILURES_TO_OPEN = 5;

/** Initial time for which the breaker stays open; it doubles with each failed trial call. */
const OPEN_MS = 250;

/**
 * Longest time for which the breaker stays open. Requests wait for the store within deadlines of about a second, so a
 * longer time would fail them after the store has recovered. With this limit, 410 hosts make about 1,100 trial calls a
 * second.
 */
const MAX_OPEN_MS = 500;

/**
 * Creates a circuit breaker. It opens after consecutive failures, and allows one trial call after a jittered delay.
 *
 * @param options - clock and random numbers
 * @returns the breaker
 * @example
 * if (breaker.allow()) { breaker.record(await tryCall()); }
 */
export default function createBreaker({ clock, random }: BreakerOptions): Breaker {
  let failures = 0;
  let openCount = 0;
  let openUntilMs: number | undefined;
  let trialRunning = false;

  const state = (): 'closed' | 'open' | 'half-open' => {
    if (openUntilMs === undefined) {
      return 'closed';
    }
    return clock.monotonicMs() < openUntilMs ? 'open' : 'half-open';
  };
  const open = (): void => {
    const delayMs = Math.min(MAX_OPEN_MS, OPEN_MS * 2 ** openCount);
    openUntilMs = clock.monotonicMs() + delayMs * (0.5 + random() / 2);
    openCount += 1;
  };

  return {
    state,
    allow: () => {
      const current = state();
      if (current === 'half-open' && !trialRunning) {
        trialRunning = true;
        return true;
      }
      return current === 'closed';
    },
    record: (result) => {
      trialRunning = false;
      if (result === 'ok') {
        failures = 0;
        openCount = 0;
        openUntilMs = undefined;
        return;
      }
      failures += 1;
      if (failures >= FAILURES_TO_OPEN && state() !== 'open') {
        open();
      }
    },
  };
}
