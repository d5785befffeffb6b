import { LRUCache } from 'lru-cache';
import estimateLength from './estimateLength.js';
import learnLength from './learnLength.js';
import type { LengthFacts, LengthHistory } from './types.js';

/** Owner of the learnt answer lengths. */
export interface LengthBook {
  estimate(facts: LengthFacts): number;
  learn(facts: LengthFacts, outputTokens: number): void;
}

/** Kinds kept; 19,000 organisations do not all use every operation at the same time. */
const MAX_KINDS = 20_000;

/**
 * Creates the owner of learnt answer lengths.
 *
 * @returns the book
 * @example
 * const tokens = createLengthBook().estimate(facts);
 */
export default function createLengthBook(): LengthBook {
  const histories = new LRUCache<string, LengthHistory>({ max: MAX_KINDS });
  const keys = (facts: LengthFacts) => ({
    operation: facts.operation,
    organisation: `${facts.operation} ${facts.organisation}`,
  });
  return {
    estimate: (facts) => {
      const key = keys(facts);
      return estimateLength(facts, {
        operation: histories.get(key.operation),
        organisation: histories.get(key.organisation),
      });
    },
    learn: (facts, outputTokens) => {
      Object.values(keys(facts)).forEach((key) => {
        histories.set(key, learnLength(histories.get(key), { inputTokens: facts.inputTokens, outputTokens }));
      });
    },
  };
}
