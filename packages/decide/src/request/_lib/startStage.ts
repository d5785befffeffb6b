import type { RequestResult, RequestState, RequestStep } from '../types.js';
import finishRequest from './finishRequest.js';
import startAttempt from './startAttempt.js';

const toAnswer = (state: RequestState): RequestResult => ({
  type: 'answered',
  output: state.outputs.at(-1)?.output ?? null,
  stages: state.outputs,
});

/**
 * Starts the stage with the given index, or ends the request after the last stage. A `once` stage waits for the claim
 * of the idempotency key. If the store is unavailable, it starts without one when its servers check keys themselves.
 */
export default function startStage(state: RequestState, stageIndex: number): RequestStep {
  const stage = state.plan.stages[stageIndex];
  if (stage === undefined) {
    return finishRequest(state, toAnswer(state));
  }
  const fresh: RequestState = { ...state, stageAttempts: 0, text: '', tokenCount: 0 };
  if (stage.effect === 'once' && !state.claimed) {
    return { state: { ...fresh, phase: { type: 'claiming', stageIndex } }, actions: [{ type: 'claim' }] };
  }
  return startAttempt(fresh, stage, fresh.outputs);
}
