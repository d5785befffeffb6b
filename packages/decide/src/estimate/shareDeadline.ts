/**
 * Computes the share of the remaining time for the next stage: its latency quantile plus its part of the slack, in
 * proportion to the quantiles. The share is computed again at each stage, so that a stage that finishes early leaves
 * its slack to the later stages.
 *
 * @param remainingMs - time left until the deadline of the request
 * @param stageMs - latency quantiles of the remaining stages, the next one first
 * @returns time for the next stage in milliseconds
 * @example
 * shareDeadline(1_000, [100, 400]); // 200
 */
export default function shareDeadline(remainingMs: number, stageMs: readonly number[]): number {
  const totalMs = stageMs.reduce((sum, ms) => sum + ms, 0);
  const [nextMs = 0] = stageMs;
  return totalMs === 0 ? Math.max(0, remainingMs) : Math.max(0, remainingMs * (nextMs / totalMs));
}
