import type { RatioBudgetSpec } from './types.js';

/**
 * Adds the share of one first attempt to a budget of extra attempts.
 *
 * @param amount - budget before the attempt
 * @param spec - ratio and burst
 * @param size - size of the first attempt, when the budget counts work instead of attempts
 * @returns budget after the attempt, at most the burst
 * @example
 * earnBudget(0.5, { ratio: 0.1, burst: 10 }); // 0.6
 */
export default function earnBudget(amount: number, spec: RatioBudgetSpec, size = 1): number {
  return Math.min(spec.burst, amount + spec.ratio * size);
}
