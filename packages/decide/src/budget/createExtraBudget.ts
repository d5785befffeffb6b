import earnBudget from './earnBudget.js';
import type { RatioBudgetSpec } from './types.js';

/** Owner of one budget of retries or hedges. */
export interface ExtraBudget {
  /** A first attempt of the given size was sent. */
  earn(size?: number): void;
  /** Takes the size of an extra attempt; false when the budget has no room. */
  spend(size?: number): boolean;
}

/**
 * Creates a budget of extra attempts.
 *
 * @param spec - ratio of first attempts, and burst
 * @returns the budget; it starts with its burst, so that the first failures after a start are retried
 * @example
 * const retries = createExtraBudget({ ratio: 0.1, burst: 10 });
 */
export default function createExtraBudget(spec: RatioBudgetSpec): ExtraBudget {
  let amount = spec.burst;
  return {
    earn: (size = 1) => {
      amount = earnBudget(amount, spec, size);
    },
    spend: (size = 1) => {
      if (amount < size) {
        return false;
      }
      amount -= size;
      return true;
    },
  };
}
