import type {
  Attempt,
  AttemptFailure,
  Outcome,
  PlannedStage,
  RefusalReason,
  RequestState,
  RequestStep,
} from '../types.js';
import finishRequest from './finishRequest.js';
import readOutcome from './readOutcome.js';
import startAttempt from './startAttempt.js';

const RETRY_AFTER_MS = 1_000;

/** Whether a `once` stage may have taken effect: the failed attempt was sent, and nothing proves what happened. */
const mayHaveRun = (stage: PlannedStage, attempt: Attempt, failure: AttemptFailure): boolean => {
  if (stage.effect !== 'once' || attempt.status === 'queued') {
    return false;
  }
  const isProven =
    failure.type === 'not-sent' ||
    failure.type === 'refused' ||
    (failure.type === 'failed' && failure.executed !== undefined);
  return !isProven;
};

const withoutAttempt = (
  state: RequestState,
  stage: PlannedStage,
  attempt: Attempt,
  failure: AttemptFailure,
): RequestState => ({
  ...state,
  attempts: state.attempts.filter((other) => other !== attempt),
  stageAttempts: state.stageAttempts - (failure.type === 'stalled' ? 1 : 0),
  mayHaveRun: state.mayHaveRun || mayHaveRun(stage, attempt, failure),
  suspectServers:
    attempt.serverId !== undefined && failure.type !== 'failed'
      ? [...state.suspectServers, attempt.serverId]
      : state.suspectServers,
});

const chooseReason = (outcome: Outcome, failure: AttemptFailure): RefusalReason => {
  if (failure.type === 'failed') {
    return 'stage-failed';
  }
  if (outcome === 'unknown') {
    return 'outcome-unknown';
  }
  if (failure.type === 'poisoned') {
    return 'poisoned';
  }
  return failure.type === 'queue-timeout' ? 'no-server' : 'attempts-exhausted';
};

const refuse = (state: RequestState, stage: PlannedStage, failure: AttemptFailure): RequestStep => {
  const executed = stage.effect === 'once' && failure.type === 'failed' && failure.executed === true;
  const outcome = executed ? 'ran' : readOutcome(state);
  const reason = chooseReason(outcome, failure);
  if (outcome !== 'not-run' || failure.type === 'failed') {
    return finishRequest(state, { type: 'refused', outcome, reason });
  }
  const retryAfterMs = failure.type === 'poisoned' ? failure.retryAfterMs : RETRY_AFTER_MS;
  return finishRequest(state, { type: 'refused', outcome, reason, retryAfterMs });
};

const isFinal = (failure: AttemptFailure): boolean =>
  failure.type === 'failed' || failure.type === 'queue-timeout' || failure.type === 'poisoned';

/** Handles the failure of an open attempt: waits for a parallel attempt, retries, or refuses the request. */
export default function failAttempt(
  state: RequestState,
  attempt: Attempt,
  failure: AttemptFailure,
  options: { readonly retryAllowed: boolean; readonly nowMs: number },
): RequestStep {
  const stage = state.plan.stages[attempt.stageIndex] as PlannedStage;
  const remaining = withoutAttempt(state, stage, attempt, failure);
  if (remaining.attempts.length > 0) {
    return { state: remaining, actions: [] };
  }
  const mayRunAgain = stage.effect === 'repeatable' || stage.serversCheckKeys || !remaining.mayHaveRun;
  const isRetried =
    !isFinal(failure) &&
    mayRunAgain &&
    options.retryAllowed &&
    remaining.stageAttempts < state.plan.maxAttempts &&
    options.nowMs < state.plan.deadlineAtMs;
  return isRetried ? startAttempt(remaining, stage, remaining.outputs) : refuse(remaining, stage, failure);
}
