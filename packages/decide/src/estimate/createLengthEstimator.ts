import { LRUCache } from 'lru-cache';
import estimateLength from './estimateLength.js';
import learnLength from './learnLength.js';
import type { LengthFacts, LengthHistory } from './types.js';

/** Estimates answer lengths from those of earlier answers. */
export interface LengthEstimator {
  /** Returns the estimated answer length of a request in tokens. */
  estimate(facts: LengthFacts): number;
  /** Adds the length of a finished answer. */
  learn(facts: LengthFacts, outputTokens: number): void;
}

/** Maximum number of histories; 19,000 organisations do not all use every operation at the same time. */
const MAX_HISTORIES = 20_000;

/**
 * Creates an estimator of answer lengths without histories.
 *
 * @returns the estimator
 * @example
 * const tokens = createLengthEstimator().estimate(facts);
 */
export default function createLengthEstimator(): LengthEstimator {
  const histories = new LRUCache<string, LengthHistory>({ max: MAX_HISTORIES });
  const createKeys = (facts: LengthFacts) => ({
    operation: facts.operation,
    organisation: `${facts.operation} ${facts.organisation}`,
  });
  return {
    estimate: (facts) => {
      const keys = createKeys(facts);
      return estimateLength(facts, {
        operation: histories.get(keys.operation),
        organisation: histories.get(keys.organisation),
      });
    },
    learn: (facts, outputTokens) => {
      Object.values(createKeys(facts)).forEach((key) => {
        histories.set(key, learnLength(histories.get(key), { inputTokens: facts.inputTokens, outputTokens }));
      });
    },
  };
}
