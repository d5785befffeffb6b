import type { RequestState, RequestStep } from '../types.js';
import finishRequest from './finishRequest.js';
import readOutcome from './readOutcome.js';

const RETRY_AFTER_MS = 1_000;

/** Ends a request at its deadline; the outcome depends on what this host has sent by then. */
export default function passDeadline(state: RequestState): RequestStep {
  if (state.phase.type === 'finished' || state.phase.type === 'recording') {
    return { state, actions: [] };
  }
  const outcome = readOutcome(state);
  if (outcome !== 'not-run') {
    const reason = outcome === 'unknown' ? 'outcome-unknown' : 'deadline-passed';
    return finishRequest(state, { type: 'refused', outcome, reason });
  }
  // A request that still waits for its claim at the deadline was held up by the store.
  const reason = state.phase.type === 'claiming' && !state.claimed ? 'store-unavailable' : 'deadline-passed';
  return finishRequest(state, { type: 'refused', outcome, reason, retryAfterMs: RETRY_AFTER_MS });
}
