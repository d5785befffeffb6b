import type { RouteIndex } from '@bergamotcove/decide';
import type { ForwardRequest } from '../requests/types.js';

/** Times of one stage, monotonic. */
export interface StageTimes {
  /** Time by which it should end for the request to be on time. */
  readonly dueAtMs: number;
  /** Time after which its results come too late for the caller. */
  readonly expiresAtMs: number;
}

/** Time from the last stage to the first token of a generation. */
const FIRST_TOKEN_MS = 150;
/** Time of a stage with its wait, relative to a call with nothing in it. */
const USUAL_STAGE_FACTOR = 1.5;

/**
 * Plans the times of the stages of a request backwards from its objective and its deadline.
 *
 * @param request - the request
 * @param index - route table, which names the time of a call of each pool
 * @param options - whether the request yields to those that can be on time
 * @returns times by stage
 */
export default function planStageTimes(
  request: ForwardRequest,
  index: RouteIndex,
  { yields }: { readonly yields: boolean },
): readonly StageTimes[] {
  const { stages, objectiveMs } = request.route;
  const dueAtMs = yields ? request.deadlineAtMs : request.arrivedAtMs + objectiveMs;
  const callMs = (stage: number): number => index.pools.get(stages[stage]?.pool ?? '')?.batch?.callMs ?? 0;
  const times: StageTimes[] = [];
  for (let stage = stages.length - 1; stage >= 0; stage -= 1) {
    const followers = stages.flatMap(({ after }, follower) => (after.includes(stage) ? [follower] : []));
    const runs = followers.filter((follower) => (request.facts.pieceCounts[follower] ?? 0) > 0);
    const dueAfter = runs.map((follower) => (times[follower]?.dueAtMs ?? 0) - callMs(follower) * USUAL_STAGE_FACTOR);
    const expiresAfter = runs.map((follower) => (times[follower]?.expiresAtMs ?? 0) - callMs(follower));
    times[stage] = {
      dueAtMs: Math.min(dueAtMs - FIRST_TOKEN_MS, ...dueAfter),
      expiresAtMs: Math.min(request.deadlineAtMs - FIRST_TOKEN_MS, ...expiresAfter),
    };
  }
  return times;
}
