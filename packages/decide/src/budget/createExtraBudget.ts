import earnBudget from './earnBudget.js';
import type { RatioBudgetSpec } from './types.js';

/** Budget of retries or hedges. */
export interface ExtraBudget {
  /** Adds the share of a first attempt of the given size. */
  earn(size?: number): void;
  /** Takes the size of an extra attempt; false if the budget does not suffice. */
  spend(size?: number): boolean;
}

/**
 * Creates a budget of extra attempts.
 *
 * @param spec - ratio of first attempts, and burst
 * @returns the budget; it starts full, so that the first failures after a start can be retried
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
