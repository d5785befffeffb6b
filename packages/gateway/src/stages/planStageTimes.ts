import type { RouteIndex } from '@bergamotcove/decide';
import type { ForwardRequest } from '../requests/types.js';
import estimateStageMs from './estimateStageMs.js';

/** Monotonic times of one stage. */
export interface StageTimes {
  /** Time by which the stage has to end for the request to be on time. */
  readonly dueAtMs: number;
  /** Time after which its results are too late for the deadline. */
  readonly expiresAtMs: number;
}

/** Options of {@link planStageTimes}. */
export interface StagePlanOptions {
  /** Whether the request is expected to be late. Then it is planned for its deadline and not for its objective. */
  readonly expectedLate: boolean;
  /** Expected time from the last stage to the start of the answer. */
  readonly answerMs: number;
}

/**
 * Plans the times of the stages of a request backwards from its objective and its deadline.
 *
 * @param request - request with its route and piece counts
 * @param index - route table with the batch settings of the pools
 * @param options - prediction of the scheduler for the request
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
