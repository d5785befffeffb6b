import type { ForwardRequest } from './types.js';

/** Work of an attempt in steps of an engine, or 1 for a plain service. */
export interface WorkEstimate {
  readonly tokens: number;
  readonly prefillTokens: number;
}

/** Prompt tokens that an engine reads in the time in which it generates one. */
const PROMPT_TOKENS_PER_STEP = 200;

/**
 * Estimates the work of a request.
 *
 * @param request - request
 * @returns the estimate
 */
export default function estimateWork(request: ForwardRequest): WorkEstimate {
  const { generation } = request.facts;
  if (generation === undefined) {
    return { tokens: 1, prefillTokens: 0 };
  }
  return {
    tokens: Math.max(1, Math.min(generation.expectedOutputTokens, generation.maxOutputTokens)),
    prefillTokens: generation.promptTokens / PROMPT_TOKENS_PER_STEP,
  };
}
