/** Part of the estimate from which it is corrected. */
const CORRECTION_THRESHOLD = 0.8;
/** Ratio of the corrected estimate to the tokens that have arrived. */
const GROWTH_FACTOR = 1.6;

/**
 * Corrects a length estimate while tokens arrive. An answer that has reached most of its estimate without ending is
 * expected to be longer, because answer lengths have a heavy-tailed distribution.
 *
 * @param estimateTokens - current estimate
 * @param arrivedTokens - number of tokens that have arrived
 * @returns the corrected estimate
 * @example
 * correctLength(64, 60); // 96
 */
export default function correctLength(estimateTokens: number, arrivedTokens: number): number {
  return arrivedTokens >= estimateTokens * CORRECTION_THRESHOLD
    ? Math.max(estimateTokens, Math.round(arrivedTokens * GROWTH_FACTOR))
    : estimateTokens;
}
