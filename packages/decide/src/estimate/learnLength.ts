import type { LengthHistory } from './types.js';

/** Weight of a new answer once the history is long; until then the means are arithmetic. */
const MIN_WEIGHT = 0.05;

/**
 * Adds a finished answer to the moving averages of a length history.
 *
 * @param history - history before the answer; undefined for the first answer
 * @param answer - input and output length of the answer
 * @returns history that includes the answer
 * @example
 * learnLength(undefined, { inputTokens: 300, outputTokens: 80 });
 */
export default function learnLength(
  history: LengthHistory | undefined,
  answer: { readonly inputTokens: number; readonly outputTokens: number },
): LengthHistory {
  const count = (history?.count ?? 0) + 1;
  const weight = Math.max(MIN_WEIGHT, 1 / count);
  const update = (mean: number, sample: number): number => mean + (sample - mean) * weight;
  return {
    meanTokens: update(history?.meanTokens ?? 0, answer.outputTokens),
    meanInputTokens: update(history?.meanInputTokens ?? 0, answer.inputTokens),
    count,
  };
}
