import type { RouteIndex } from '@bergamotcove/decide';
import type { ForwardRequest } from '../requests/types.js';
import estimateStageMs from './estimateStageMs.js';

/**
 * Measures the critical path of each stage: its typical time and that of the longest chain of stages that follow it.
 * Stages without pieces take no time.
 *
 * @param request - request with its route and piece counts
 * @param index - route table with the batch settings of the pools
 * @returns time by stage, in milliseconds
 */
export default function measureCriticalPaths(request: ForwardRequest, index: RouteIndex): readonly number[] {
  const { stages } = request.route;
  const pathsMs: number[] = [];
  for (let stage = stages.length - 1; stage >= 0; stage -= 1) {
    const followers = stages.flatMap(({ after }, follower) => (after.includes(stage) ? [follower] : []));
    const hasPieces = (request.facts.pieceCounts[stage] ?? 0) > 0;
    const ownMs = hasPieces ? estimateStageMs(index.pools.get(stages[stage]?.pool ?? '')?.batch) : 0;
    pathsMs[stage] = ownMs + Math.max(0, ...followers.map((follower) => pathsMs[follower] ?? 0));
  }
  return pathsMs;
}
