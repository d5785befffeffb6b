import type { Clock } from '@bergamotcove/clock';

/** Limits the calls per second as a token bucket that holds one second of calls. */
export interface CallBudget {
  /** Takes one call from the budget; false when it is used up. */
  take(): boolean;
}

const MS_PER_SECOND = 1_000;

/**
 * Creates a call budget.
 *
 * @param clock - refills the budget
 * @param callsPerSecond - rate; unlimited when undefined
 * @returns the budget
 */
export default function createCallBudget(clock: Clock, callsPerSecond: number | undefined): CallBudget {
  if (callsPerSecond === undefined) {
    return { take: () => true };
  }
  let available = callsPerSecond;
  let filledAtMs = clock.monotonicMs();
  return {
    take: () => {
      const nowMs = clock.monotonicMs();
      available = Math.min(callsPerSecond, available + ((nowMs - filledAtMs) / MS_PER_SECOND) * callsPerSecond);
      filledAtMs = nowMs;
      if (available < 1) {
        return false;
      }
      available -= 1;
      return true;
    },
  };
}
