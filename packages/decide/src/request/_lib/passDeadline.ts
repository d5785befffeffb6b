import type { RequestState, RequestStep } from '../types.js';
import finishRequest from './finishRequest.js';

const RETRY_AFTER_MS = 1_000;

/** Ends a request at its deadline; a sent `once` attempt without an answer leaves the outcome unknown. */
export default function passDeadline(state: RequestState): RequestStep {
  if (state.phase.type === 'finished' || state.phase.type === 'recording') {
    return { state, actions: [] };
  }
  const sentOnce = state.attempts.some(
    (attempt) => attempt.status === 'sent' && state.plan.stages[attempt.stageIndex]?.effect === 'once',
  );
  if (sentOnce) {
    return finishRequest(state, { type: 'refused', outcome: 'unknown', reason: 'outcome-unknown' });
  }
  return finishRequest(state, {
    type: 'refused',
    outcome: 'not-run',
    reason: 'deadline-passed',
    retryAfterMs: RETRY_AFTER_MS,
  });
}
