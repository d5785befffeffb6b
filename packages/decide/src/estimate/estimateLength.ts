import type { LengthFacts, LengthHistory } from './types.js';

/** Number of answers in a history at which it has the same weight as the more general estimate. */
const PRIOR_COUNT = 5;
const MAX_INPUT_FACTOR = 2;

const scaleByInput = (history: LengthHistory, inputTokens: number): number => {
  const ratio = (inputTokens + 1) / (history.meanInputTokens + 1);
  // Output grows more slowly than input; the square root limits the effect of a single large input.
  const factor = Math.min(MAX_INPUT_FACTOR, Math.max(1 / MAX_INPUT_FACTOR, Math.sqrt(ratio)));
  return history.meanTokens * factor;
};

/**
 * Estimates the output length of a request from its operation, organisation and input size.
 *
 * @param facts - the request
 * @param history - answer lengths of the operation, and of the operation for this organisation
 * @returns estimated length in tokens
 * @example
 * estimateLength(facts, { operation: learnt, organisation: undefined });
 */
export default function estimateLength(
  facts: LengthFacts,
  history: { readonly operation?: LengthHistory | undefined; readonly organisation?: LengthHistory | undefined },
): number {
  const blend = (prior: number, learnt: LengthHistory | undefined): number => {
    if (learnt === undefined) {
      return prior;
    }
    const share = learnt.count / (learnt.count + PRIOR_COUNT);
    return prior + (scaleByInput(learnt, facts.inputTokens) - prior) * share;
  };
  return blend(blend(facts.expectedOutputTokens, history.operation), history.organisation);
}
