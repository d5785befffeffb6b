import type { LengthHistory } from './types.js';

const MIN_WEIGHT = 0.05;

/**
 * Adds a finished answer to the history of its kind.
 *
 * @param history - history before; undefined for the first answer
 * @param answer - size of input and output
 * @returns history after
 * @example
 * learnLength(undefined, { inputTokens: 300, outputTokens: 80 });
 */
export default function learnLength(
  history: LengthHistory | undefined,
  answer: { readonly inputTokens: number; readonly outputTokens: number },
): LengthHistory {
  const count = (history?.count ?? 0) + 1;
  const weight = Math.max(MIN_WEIGHT, 1 / count);
  const move = (before: number, sample: number): number => before + (sample - before) * weight;
  return {
    meanTokens: move(history?.meanTokens ?? 0, answer.outputTokens),
    meanInputTokens: move(history?.meanInputTokens ?? 0, answer.inputTokens),
    count,
  };
}
