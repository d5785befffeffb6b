import type { ForwardRequest } from './types.js';

/** Work of an attempt in decode steps of an engine; `tokens` is 1 for requests that are not generations. */
export interface WorkEstimate {
  readonly tokens: number;
  readonly prefillTokens: number;
}

/** Prompt tokens that an engine reads in the time in which it generates one token. */
const PROMPT_TOKENS_PER_STEP = 200;

/**
 * Estimates the work of a request.
 *
 * @param request - request to estimate
 * @returns tokens to generate, and the time to read the prompt in decode steps
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
