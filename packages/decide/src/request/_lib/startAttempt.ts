import type { PlannedStage, RequestState, RequestStep } from '../types.js';

/** Opens an attempt of the stage and dispatches it. */
export default function startAttempt(
  state: RequestState,
  stage: PlannedStage,
  input: unknown,
  options: { readonly hedge: boolean } = { hedge: false },
): RequestStep {
  const attemptId = `${state.plan.requestId}.${state.nextAttempt}`;
  const busyServers = state.attempts.flatMap((attempt) => (attempt.serverId === undefined ? [] : [attempt.serverId]));
  const attempt = {
    attemptId,
    stageIndex: stage.index,
    status: 'queued' as const,
    hedge: options.hedge,
    resumeTokenIndex: state.tokenCount,
  };
  return {
    state: {
      ...state,
      phase: { type: 'running', stageIndex: stage.index },
      attempts: [...state.attempts, attempt],
      stageAttempts: state.stageAttempts + (options.hedge ? 0 : 1),
      nextAttempt: state.nextAttempt + 1,
    },
    actions: [
      {
        type: 'dispatch',
        attemptId,
        stage,
        input,
        resumeTokenIndex: state.tokenCount,
        avoidServers: [...state.suspectServers, ...busyServers],
        hedge: options.hedge,
      },
    ],
  };
}
