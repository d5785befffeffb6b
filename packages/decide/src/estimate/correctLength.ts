const NEAR_SHARE = 0.8;
const GROWTH = 1.6;

/**
 * Corrects a length estimate while tokens arrive. An answer that passes most of its estimate without ending is
 * expected to be longer, because the length of answers has a heavy tail.
 *
 * @param estimateTokens - estimate so far
 * @param arrivedTokens - tokens that have arrived
 * @returns the corrected estimate
 * @example
 * correctLength(64, 60); // 96
 */
export default function correctLength(estimateTokens: number, arrivedTokens: number): number {
  return arrivedTokens >= estimateTokens * NEAR_SHARE
    ? Math.max(estimateTokens, Math.round(arrivedTokens * GROWTH))
    : estimateTokens;
}
