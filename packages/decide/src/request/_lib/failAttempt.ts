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

/** Whether the failed attempt leaves open that a `once` stage took effect: it left, and nothing proves what happened. */
const mayHaveRun = (stage: PlannedStage, attempt: Attempt, failure: AttemptFailure): boolean => {
  if (stage.effect !== 'once' || attempt.status === 'queued') {
    return false;
  }
  const proven =
    failure.type === 'not-sent' ||
    failure.type === 'refused' ||
    (failure.type === 'failed' && failure.executed !== undefined);
  return !proven;
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

const nameReason = (outcome: Outcome, failure: AttemptFailure): RefusalReason => {
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
  const reason = nameReason(outcome, failure);
  if (outcome !== 'not-run' || failure.type === 'failed') {
    return finishRequest(state, { type: 'refused', outcome, reason });
  }
  const retryAfterMs = failure.type === 'poisoned' ? failure.retryAfterMs : RETRY_AFTER_MS;
  return finishRequest(state, { type: 'refused', outcome, reason, retryAfterMs });
};

const isFinal = (failure: AttemptFailure): boolean =>
  failure.type === 'failed' || failure.type === 'queue-timeout' || failure.type === 'poisoned';

/** Handles the failure of an open attempt: waits for a parallel attempt, retries, or ends the request. */
export default function failAttempt(
  state: RequestState,
  attempt: Attempt,
  failure: AttemptFailure,
  options: { readonly retryAllowed: boolean; readonly nowMs: number },
): RequestStep {
  const stage = state.plan.stages[attempt.stageIndex] as PlannedStage;
  const rest = withoutAttempt(state, stage, attempt, failure);
  if (rest.attempts.length > 0) {
    return { state: rest, actions: [] };
  }
  const safe = stage.effect === 'repeatable' || stage.serversCheckKeys || !rest.mayHaveRun;
  const retry =
    !isFinal(failure) &&
    safe &&
    options.retryAllowed &&
    rest.stageAttempts < state.plan.maxAttempts &&
    options.nowMs < state.plan.deadlineAtMs;
  return retry ? startAttempt(rest, stage, rest.outputs) : refuse(rest, stage, failure);
}
