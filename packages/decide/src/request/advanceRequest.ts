import { exhaustive } from '@bergamotcove/errors';
import acceptTokens from './_lib/acceptTokens.js';
import failAttempt from './_lib/failAttempt.js';
import finishRequest from './_lib/finishRequest.js';
import passDeadline from './_lib/passDeadline.js';
import startAttempt from './_lib/startAttempt.js';
import startStage from './_lib/startStage.js';
import type { Attempt, ClaimDecision, PlannedStage, RequestEvent, RequestState, RequestStep } from './types.js';

const unchanged = (state: RequestState): RequestStep => ({ state, actions: [] });

const decideClaim = (state: RequestState, decision: ClaimDecision): RequestStep => {
  if (state.phase.type !== 'claiming') {
    return unchanged(state);
  }
  if (decision.type === 'granted') {
    return startStage({ ...state, claimed: true }, state.phase.stageIndex);
  }
  return finishRequest(state, {
    type: 'refused',
    outcome: 'not-run',
    reason: 'store-unavailable',
    retryAfterMs: decision.retryAfterMs,
  });
};

const markSent = (state: RequestState, sent: Attempt, serverId: string, nowMs: number): RequestStep =>
  unchanged({
    ...state,
    attempts: state.attempts.map((attempt) =>
      attempt === sent ? { ...attempt, status: 'sent', serverId, sentAtMs: nowMs } : attempt,
    ),
  });

/** A generation's text is the sum of the tokens of all its attempts; other stages answer in one piece. */
const settleOutput = (state: RequestState, stage: PlannedStage, output: unknown): unknown =>
  stage.kind === 'generate' ? { text: state.text, tokenCount: state.tokenCount } : output;

const answerAttempt = (state: RequestState, answered: Attempt, received: unknown): RequestStep => {
  const stage = state.plan.stages[answered.stageIndex] as PlannedStage;
  const output = settleOutput(state, stage, received);
  const losers = state.attempts.filter((attempt) => attempt !== answered);
  const next = startStage(
    { ...state, attempts: [], outputs: [...state.outputs, { stage: stage.name, output }] },
    answered.stageIndex + 1,
  );
  const cancels = losers.map((attempt) => ({ type: 'cancel' as const, attemptId: attempt.attemptId }));
  return { state: next.state, actions: [...cancels, ...next.actions] };
};

const startHedge = (state: RequestState, attempt: Attempt): RequestStep => {
  const stage = state.plan.stages[attempt.stageIndex];
  if (stage === undefined || stage.effect === 'once' || state.attempts.length > 1) {
    return unchanged(state);
  }
  return startAttempt(state, stage, state.outputs, { hedge: true });
};

const finishRecording = (state: RequestState): RequestStep => {
  if (state.phase.type !== 'recording') {
    return unchanged(state);
  }
  return {
    state: { ...state, phase: { type: 'finished' } },
    actions: [{ type: 'finish', result: state.phase.result }],
  };
};

const withOpenAttempt = (
  state: RequestState,
  attemptId: string,
  handle: (attempt: Attempt) => RequestStep,
): RequestStep => {
  const attempt = state.attempts.find((other) => other.attemptId === attemptId);
  return attempt === undefined ? unchanged(state) : handle(attempt);
};

/**
 * Advances one request by one event. Late, duplicate and foreign answers carry the id of an attempt that is not open
 * and change nothing.
 *
 * @param state - state before the event
 * @param event - what happened
 * @param nowMs - monotonic time of the event
 * @returns the new state and the actions to perform, in order
 * @example
 * const { state, actions } = advanceRequest(createRequestState(plan), { type: 'started' }, clock.monotonicMs());
 */
export default function advanceRequest(state: RequestState, event: RequestEvent, nowMs: number): RequestStep {
  switch (event.type) {
    case 'started':
      return state.phase.type === 'new' ? startStage(state, 0) : unchanged(state);
    case 'claim-decided':
      return decideClaim(state, event.decision);
    case 'attempt-sent':
      return withOpenAttempt(state, event.attemptId, (attempt) => markSent(state, attempt, event.serverId, nowMs));
    case 'attempt-answered':
      return withOpenAttempt(state, event.attemptId, (attempt) => answerAttempt(state, attempt, event.output));
    case 'tokens-arrived':
      return withOpenAttempt(state, event.attemptId, (attempt) =>
        acceptTokens(state, attempt, event.firstTokenIndex, event.tokens),
      );
    case 'attempt-failed':
      return withOpenAttempt(state, event.attemptId, (attempt) =>
        failAttempt(state, attempt, event.failure, { retryAllowed: event.retryAllowed, nowMs }),
      );
    case 'hedge-due':
      return withOpenAttempt(state, event.attemptId, (attempt) => startHedge(state, attempt));
    case 'deadline-passed':
      return passDeadline(state);
    case 'recorded':
      return finishRecording(state);
    default:
      return exhaustive(event);
  }
}
