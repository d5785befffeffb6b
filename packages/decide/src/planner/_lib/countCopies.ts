import type { ModelDemand, PlannerLimits } from '../types.js';

// A copy is unloaded only if the others would then run at 70% of their capacity or less. This hysteresis keeps a
// fluctuating demand from moving weights.
const MAX_LOAD_AFTER_UNLOAD = 0.7;

/** Computes the number of copies that a model should have, given its current number. */
export default function countCopies(
  demand: ModelDemand,
  currentCopies: number,
  bounds: { readonly limits: PlannerLimits; readonly engineCount: number },
): number {
  const { requestsPerCopy, minCopies } = bounds.limits;
  const needed = Math.ceil(demand.openRequests / requestsPerCopy);
  const mayShrink = demand.openRequests <= MAX_LOAD_AFTER_UNLOAD * (currentCopies - 1) * requestsPerCopy;
  const copies = needed < currentCopies && !mayShrink ? currentCopies : needed;
  return Math.min(Math.max(copies, minCopies), bounds.engineCount);
}
