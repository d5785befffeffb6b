import type { ModelDemand, PlannerLimits } from '../types.js';

// A copy is given up only when the others would run at 70% or less, so that a wavering demand moves no weights.
const SHRINK_RATIO = 0.7;

/** Number of copies that a model should have, given the copies that it has. */
export default function countCopies(
  demand: ModelDemand,
  currentCopies: number,
  bounds: { readonly limits: PlannerLimits; readonly engineCount: number },
): number {
  const { requestsPerCopy, minCopies } = bounds.limits;
  const wanted = Math.ceil(demand.openRequests / requestsPerCopy);
  const mayShrink = demand.openRequests <= SHRINK_RATIO * (currentCopies - 1) * requestsPerCopy;
  const copies = wanted < currentCopies && !mayShrink ? currentCopies : wanted;
  return Math.min(Math.max(copies, minCopies), bounds.engineCount);
}
