import type { Attempt, RequestState, RequestStep } from '../types.js';

/**
 * Accepts generated tokens in order. Tokens that already arrived from an earlier attempt are dropped. Tokens after a
 * gap are ignored, because the final answer of the attempt is checked against the token count.
 */
export default function acceptTokens(
  state: RequestState,
  attempt: Attempt,
  firstTokenIndex: number,
  tokens: readonly string[],
): RequestStep {
  const knownTokens = state.tokenCount - firstTokenIndex;
  const stage = state.plan.stages[attempt.stageIndex];
  if (stage?.kind !== 'generate') {
    return { state, actions: [] };
  }
  if (attempt.stageIndex !== (state.phase.type === 'running' ? state.phase.stageIndex : -1) || knownTokens < 0) {
    return { state, actions: [] };
  }
  const fresh = tokens.slice(knownTokens);
  if (fresh.length === 0) {
    return { state, actions: [] };
  }
  // Only the last generation of a pipeline is streamed to the caller; token indexes of two generations would overlap.
  const isLastGeneration = !state.plan.stages.slice(stage.index + 1).some((later) => later.kind === 'generate');
  const emit = { type: 'emit-tokens' as const, firstTokenIndex: state.tokenCount, tokens: fresh };
  // Two engines may generate different texts; the first that delivers a token generates the whole text.
  const others = state.attempts.filter((other) => other !== attempt && other.stageIndex === attempt.stageIndex);
  return {
    state: {
      ...state,
      attempts: state.attempts.filter((other) => !others.includes(other)),
      text: state.text + fresh.join(''),
      tokenCount: state.tokenCount + fresh.length,
    },
    actions: [
      ...others.map(({ attemptId }) => ({ type: 'cancel' as const, attemptId })),
      ...(isLastGeneration ? [emit] : []),
    ],
  };
}
