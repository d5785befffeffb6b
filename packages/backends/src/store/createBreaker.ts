import type { Clock } from '@bergamotcove/clock';

/** Stops calls to a service that does not answer. */
export interface Breaker {
  /** Whether a call may be made now; in a half-open breaker one call at a time. */
  allow(): boolean;
  note(result: 'ok' | 'failed'): void;
  state(): 'closed' | 'open' | 'half-open';
}

/** Options of {@link createBreaker}. */
export interface BreakerOptions {
  readonly clock: Clock;
  readonly random: () => number;
}

/** Failures in a row that open the breaker. */
const FAILURES_TO_OPEN = 5;

/** First time for which the breaker stays open; it doubles while trial calls fail. */
const OPEN_MS = 250;

/**
 * Longest time for which the breaker stays open. Requests wait for the store within deadlines of about a second, so a
 * longer time refuses them after the store is back. 410 hosts then make about 1,100 trial calls a second.
 */
const MAX_OPEN_MS = 500;

/**
 * Creates a breaker. It opens after failures in a row, and lets one trial call through after a jittered time.
 *
 * @param options - clock and random numbers
 * @returns the breaker
 * @example
 * if (breaker.allow()) { breaker.note(await tryCall()); }
 */
export default function createBreaker({ clock, random }: BreakerOptions): Breaker {
  let failures = 0;
  let openedTimes = 0;
  let openUntilMs: number | undefined;
  let trial = false;

  const state = (): 'closed' | 'open' | 'half-open' => {
    if (openUntilMs === undefined) {
      return 'closed';
    }
    return clock.monotonicMs() < openUntilMs ? 'open' : 'half-open';
  };
  const open = (): void => {
    const delayMs = Math.min(MAX_OPEN_MS, OPEN_MS * 2 ** openedTimes);
    openUntilMs = clock.monotonicMs() + delayMs * (0.5 + random() / 2);
    openedTimes += 1;
  };

  return {
    state,
    allow: () => {
      const current = state();
      if (current === 'half-open' && !trial) {
        trial = true;
        return true;
      }
      return current === 'closed';
    },
    note: (result) => {
      trial = false;
      if (result === 'ok') {
        failures = 0;
        openedTimes = 0;
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
