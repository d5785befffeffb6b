import type { Attempt, RequestState, RequestStep } from '../types.js';

/**
 * Accepts generated tokens in order. Tokens that already arrived from an earlier attempt are dropped, and a gap is
 * ignored, because the attempt's final answer is checked against the token count.
 */
export default function acceptTokens(
  state: RequestState,
  attempt: Attempt,
  firstTokenIndex: number,
  tokens: readonly string[],
): RequestStep {
  const known = state.tokenCount - firstTokenIndex;
  const stage = state.plan.stages[attempt.stageIndex];
  if (stage?.kind !== 'generate') {
    return { state, actions: [] };
  }
  if (attempt.stageIndex !== (state.phase.type === 'running' ? state.phase.stageIndex : -1) || known < 0) {
    return { state, actions: [] };
  }
  const fresh = tokens.slice(known);
  if (fresh.length === 0) {
    return { state, actions: [] };
  }
  // Only the last generation of a pipeline is the caller's text; the numbers of two would overlap in one stream.
  const isLastGeneration = !state.plan.stages.slice(stage.index + 1).some((later) => later.kind === 'generate');
  const emit = { type: 'emit-tokens' as const, firstTokenIndex: state.tokenCount, tokens: fresh };
  // Two engines may word the same answer differently; the first that delivers a token produces the whole text.
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
