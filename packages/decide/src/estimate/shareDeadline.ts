/**
 * Computes the share of the remaining deadline for the next stage: its learnt quantile plus its part of the slack, in
 * proportion to the quantiles. A stage that finishes early leaves its slack to the later ones, because the share is
 * computed again at each stage.
 *
 * @param remainingMs - time left for the request
 * @param stageMs - learnt quantile of each stage that is left, the next one first
 * @returns time for the next stage in milliseconds
 * @example
 * shareDeadline(1_000, [100, 400]); // 200
 */
export default function shareDeadline(remainingMs: number, stageMs: readonly number[]): number {
  const totalMs = stageMs.reduce((sum, ms) => sum + ms, 0);
  const [nextMs = 0] = stageMs;
  return totalMs === 0 ? Math.max(0, remainingMs) : Math.max(0, remainingMs * (nextMs / totalMs));
}
