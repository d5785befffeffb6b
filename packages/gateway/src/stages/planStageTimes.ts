import type { RouteIndex } from '@bergamotcove/decide';
import type { ForwardRequest } from '../requests/types.js';
import estimateStageMs from './estimateStageMs.js';

/** Times of one stage, monotonic. */
export interface StageTimes {
  /** Time by which it should end for the request to be on time. */
  readonly dueAtMs: number;
  /** Time after which its results come too late for the caller. */
  readonly expiresAtMs: number;
}

/** What the plan of a request depends on besides its route. */
export interface StagePlanOptions {
  /** Whether the request is expected to be late anyway and yields to those that can be on time. */
  readonly expectedLate: boolean;
  /** Expected time from the last stage to the begin of the answer. */
  readonly answerMs: number;
}

/**
 * Plans the times of the stages of a request backwards from its objective and its deadline.
 *
 * @param request - the request
 * @param index - route table, which names the time of a call of each pool
 * @param options - what is expected of the request
 * @returns times by stage
 */
export default function planStageTimes(
  request: ForwardRequest,
  index: RouteIndex,
  { expectedLate, answerMs }: StagePlanOptions,
): readonly StageTimes[] {
  const { stages, objectiveMs } = request.route;
  const dueAtMs = expectedLate ? request.deadlineAtMs : request.arrivedAtMs + objectiveMs;
  const findBatch = (stage: number) => index.pools.get(stages[stage]?.pool ?? '')?.batch;
  const minCallMs = (stage: number): number => findBatch(stage)?.callMs ?? 0;
  const stageMs = (stage: number): number => estimateStageMs(findBatch(stage));
  const times: StageTimes[] = [];
  for (let stage = stages.length - 1; stage >= 0; stage -= 1) {
    const followers = stages.flatMap(({ after }, follower) => (after.includes(stage) ? [follower] : []));
    const runningFollowers = followers.filter((follower) => (request.facts.pieceCounts[follower] ?? 0) > 0);
    const dueAfter = runningFollowers.map((follower) => (times[follower]?.dueAtMs ?? 0) - stageMs(follower));
    const expiresAfter = runningFollowers.map((follower) => (times[follower]?.expiresAtMs ?? 0) - minCallMs(follower));
    times[stage] = {
      dueAtMs: Math.min(dueAtMs - answerMs, ...dueAfter),
      expiresAtMs: Math.min(request.deadlineAtMs - answerMs, ...expiresAfter),
    };
  }
  return times;
}
