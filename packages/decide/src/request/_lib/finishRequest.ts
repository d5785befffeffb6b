import type { RequestAction, RequestResult, RequestState, RequestStep } from '../types.js';

/** A refusal holds for every request with the key, so `not-run` becomes `unknown` if an earlier one may have run. */
const applyEarlierDoubt = (state: RequestState, result: RequestResult): RequestResult =>
  state.plan.earlierMayHaveRun === true && result.type === 'refused' && result.outcome === 'not-run'
    ? { ...result, outcome: 'unknown' }
    : result;

/**
 * Ends the request: cancels its open attempts and, if the request is claimed, records the result before it finishes.
 * A claimed request that did not run is recorded too, so that a resend gets the same answer.
 */
export default function finishRequest(state: RequestState, known: RequestResult): RequestStep {
  const result = applyEarlierDoubt(state, known);
  const cancels: readonly RequestAction[] = state.attempts.map((attempt) => ({
    type: 'cancel',
    attemptId: attempt.attemptId,
  }));
  if (state.claimed) {
    return {
      state: { ...state, phase: { type: 'recording', result }, attempts: [] },
      actions: [...cancels, { type: 'record', result }],
    };
  }
  return {
    state: { ...state, phase: { type: 'finished' }, attempts: [] },
    actions: [...cancels, { type: 'finish', result }],
  };
}
