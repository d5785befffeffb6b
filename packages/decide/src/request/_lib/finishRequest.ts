import type { RequestAction, RequestResult, RequestState, RequestStep } from '../types.js';

/**
 * Ends the request: cancels open attempts, and records the result first when the request holds a claim.
 * A claimed request that did not run is recorded too, so that a resend gets the same answer.
 */
export default function finishRequest(state: RequestState, result: RequestResult): RequestStep {
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
