import type { Attempt, AttemptFailure, Outcome, PlannedStage, RequestState, RequestStep } from '../types.js';
import finishRequest from './finishRequest.js';
import startAttempt from './startAttempt.js';

const RETRY_AFTER_MS = 1_000;

/** Whether the failure leaves open that a `once` stage took effect. */
const mayHaveRun = (failure: AttemptFailure): boolean =>
  failure.type === 'connection-lost' || failure.type === 'invalid-answer';

const isSafeToRepeat = (stage: PlannedStage, failure: AttemptFailure): boolean =>
  stage.effect === 'repeatable' || stage.serversCheckKeys || !mayHaveRun(failure);

/** What is known about the effect of the request when the given attempt ends it. */
const settleOutcome = (stage: PlannedStage, failure: AttemptFailure): Outcome => {
  if (stage.effect === 'once' && failure.type === 'failed') {
    return 'ran';
  }
  return stage.effect === 'once' && mayHaveRun(failure) ? 'unknown' : 'not-run';
};

const withoutAttempt = (state: RequestState, attempt: Attempt, failure: AttemptFailure): RequestState => ({
  ...state,
  attempts: state.attempts.filter((other) => other !== attempt),
  suspectServers:
    attempt.serverId !== undefined && failure.type !== 'failed'
      ? [...state.suspectServers, attempt.serverId]
      : state.suspectServers,
});

const refuse = (state: RequestState, stage: PlannedStage, failure: AttemptFailure): RequestStep => {
  const outcome = settleOutcome(stage, failure);
  if (outcome === 'unknown') {
    return finishRequest(state, { type: 'refused', outcome, reason: 'outcome-unknown' });
  }
  if (failure.type === 'failed') {
    return finishRequest(state, { type: 'refused', outcome, reason: 'stage-failed' });
  }
  const reason = failure.type === 'queue-timeout' ? 'no-server' : 'attempts-exhausted';
  return finishRequest(state, { type: 'refused', outcome, reason, retryAfterMs: RETRY_AFTER_MS });
};

/** Handles the failure of an open attempt: waits for a parallel attempt, retries, or ends the request. */
export default function failAttempt(
  state: RequestState,
  attempt: Attempt,
  failure: AttemptFailure,
  options: { readonly retryAllowed: boolean; readonly nowMs: number },
): RequestStep {
  const stage = state.plan.stages[attempt.stageIndex] as PlannedStage;
  const rest = withoutAttempt(state, attempt, failure);
  if (rest.attempts.length > 0) {
    return { state: rest, actions: [] };
  }
  const retry =
    failure.type !== 'failed' &&
    failure.type !== 'queue-timeout' &&
    isSafeToRepeat(stage, failure) &&
    options.retryAllowed &&
    state.stageAttempts < state.plan.maxAttempts &&
    options.nowMs < state.plan.deadlineAtMs;
  return retry ? startAttempt(rest, stage, rest.outputs) : refuse(rest, stage, failure);
}
