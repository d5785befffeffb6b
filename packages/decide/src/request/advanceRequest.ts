import { exhaustive } from '@bergamotcove/errors';
import acceptTokens from './_lib/acceptTokens.js';
import failAttempt from './_lib/failAttempt.js';
import finishRequest from './_lib/finishRequest.js';
import passDeadline from './_lib/passDeadline.js';
import startAttempt from './_lib/startAttempt.js';
import startStage from './_lib/startStage.js';
import { MAX_PARALLEL_ATTEMPTS } from './constants.js';
import type {
  Attempt,
  ClaimDecision,
  PlannedStage,
  RequestEvent,
  RequestResult,
  RequestState,
  RequestStep,
} from './types.js';

const unchanged = (state: RequestState): RequestStep => ({ state, actions: [] });

const NOT_RUN: RequestResult = { type: 'refused', outcome: 'not-run', reason: 'deadline-passed' };

const handleUnavailableStore = (state: RequestState, stageIndex: number, retryAfterMs: number): RequestStep => {
  if (state.plan.stages[stageIndex]?.serversCheckKeys === true) {
    // The servers themselves run each key only once. The claim may still become durable, so the result is recorded.
    return startStage({ ...state, claimed: true }, stageIndex);
  }
  return finishRequest(state, { type: 'refused', outcome: 'not-run', reason: 'store-unavailable', retryAfterMs });
};

const decideClaim = (state: RequestState, decision: ClaimDecision, nowMs: number): RequestStep => {
  if (state.phase.type !== 'claiming') {
    const granted = decision.type === 'granted';
    return { state, actions: granted ? [{ type: 'release', result: NOT_RUN }] : [] };
  }
  if (decision.type === 'settled') {
    return finishRequest(state, decision.result);
  }
  if (decision.type === 'unavailable') {
    return handleUnavailableStore(state, state.phase.stageIndex, decision.retryAfterMs);
  }
  // A granted claim proves that no earlier request with this key ran.
  const plan = { ...state.plan, earlierMayHaveRun: false };
  const claimed = { ...state, plan, claimed: true, contended: false };
  // After a pause of the process, the claim can be granted past the deadline but before the deadline timer fires.
  return nowMs < state.plan.deadlineAtMs ? startStage(claimed, state.phase.stageIndex) : passDeadline(claimed);
};

const markSent = (state: RequestState, sent: Attempt, serverId: string, nowMs: number): RequestStep =>
  unchanged({
    ...state,
    attempts: state.attempts.map((attempt) =>
      attempt === sent ? { ...attempt, status: 'sent', serverId, sentAtMs: nowMs } : attempt,
    ),
  });

/** Returns the output of a stage. The text of a generation joins the tokens of all its attempts. */
const toStageOutput = (state: RequestState, stage: PlannedStage, output: unknown): unknown =>
  stage.kind === 'generate' ? { text: state.text, tokenCount: state.tokenCount } : output;

const isComplete = (state: RequestState, stage: PlannedStage, received: unknown): boolean =>
  stage.kind !== 'generate' ||
  (typeof received === 'object' && received !== null && Reflect.get(received, 'tokenCount') === state.tokenCount);

const answerAttempt = (
  state: RequestState,
  answered: Attempt,
  event: Extract<RequestEvent, { type: 'attempt-answered' }>,
  nowMs: number,
): RequestStep => {
  const stage = state.plan.stages[answered.stageIndex] as PlannedStage;
  const received = event.output;
  if (!isComplete(state, stage, received)) {
    // Tokens are missing; the generation resumes at the first missing token.
    return failAttempt(state, answered, { type: 'invalid-answer' }, { retryAllowed: true, nowMs });
  }
  const output = toStageOutput(state, stage, received);
  const others = state.attempts.filter((attempt) => attempt !== answered);
  const next = startStage(
    { ...state, attempts: [], outputs: [...state.outputs, { stage: stage.name, output }] },
    answered.stageIndex + 1,
  );
  const cancels = others.map((attempt) => ({ type: 'cancel' as const, attemptId: attempt.attemptId }));
  return { state: next.state, actions: [...cancels, ...next.actions] };
};

/**
 * Starts a hedge of an attempt that has delivered no token yet, be it the first attempt or a resumed one. An attempt
 * that has delivered tokens is moved to another server instead.
 */
const startHedge = (state: RequestState, attempt: Attempt): RequestStep => {
  const stage = state.plan.stages[attempt.stageIndex];
  if (
    stage === undefined ||
    stage.effect === 'once' ||
    state.attempts.length >= MAX_PARALLEL_ATTEMPTS ||
    state.tokenCount > attempt.resumeTokenIndex
  ) {
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
 * Advances one request by one event. Late and duplicate answers, and answers to other requests, carry the id of an
 * attempt that is not open, and change nothing.
 *
 * @param state - state before the event
 * @param event - the event
 * @param nowMs - monotonic time of the event
 * @returns the new state and the actions to perform, in order
 * @example
 * const { state, actions } = advanceRequest(createRequestState(plan), { type: 'started' }, clock.monotonicMs());
 */
export default function advanceRequest(state: RequestState, event: RequestEvent, nowMs: number): RequestStep {
  switch (event.type) {
    case 'started':
      return state.phase.type === 'new' ? startStage(state, 0) : unchanged(state);
    case 'claim-contended':
      return unchanged(state.phase.type === 'claiming' ? { ...state, contended: true } : state);
    case 'claim-decided':
      return decideClaim(state, event.decision, nowMs);
    case 'attempt-sent':
      return withOpenAttempt(state, event.attemptId, (attempt) => markSent(state, attempt, event.serverId, nowMs));
    case 'attempt-answered':
      return withOpenAttempt(state, event.attemptId, (attempt) => answerAttempt(state, attempt, event, nowMs));
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
