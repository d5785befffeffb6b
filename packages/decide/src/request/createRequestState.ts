import type { RequestPlan, RequestState } from './types.js';

/**
 * Creates the state of a request that has not started.
 *
 * @param plan - stages, deadline and limits of the request
 * @returns the initial state
 */
export default function createRequestState(plan: RequestPlan): RequestState {
  return {
    plan,
    phase: { type: 'new' },
    attempts: [],
    stageAttempts: 0,
    nextAttempt: 0,
    outputs: [],
    text: '',
    tokenCount: 0,
    claimed: false,
    contended: false,
    mayHaveRun: false,
    suspectServers: [],
  };
}
