import type { RequestAction, RequestResult, RequestState, RequestStep } from '../types.js';

/** A refusal speaks for every request under the key, so that doubt about an earlier one makes it `unknown`. */
const stateDoubt = (state: RequestState, result: RequestResult): RequestResult =>
  state.plan.earlierMayHaveRun === true && result.type === 'refused' && result.outcome === 'not-run'
    ? { ...result, outcome: 'unknown' }
    : result;

/**
 * Ends the request: cancels open attempts, and records the result first when the request holds a claim.
 * A claimed request that did not run is recorded too, so that a resend gets the same answer.
 */
export default function finishRequest(state: RequestState, known: RequestResult): RequestStep {
  const result = stateDoubt(state, known);
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
