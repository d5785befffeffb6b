import type { RouteIndex } from '@bergamotcove/decide';
import type { ForwardRequest } from '../requests/types.js';
import estimateStageMs from './estimateStageMs.js';

/**
 * Measures how long before the end of all stages each one usually starts: its own time and that of the longest chain of
 * stages behind it. Stages without pieces take no time.
 *
 * @param request - the request
 * @param index - route table, which tells how the pools work
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
