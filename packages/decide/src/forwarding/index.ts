/** Attempts of requests whose bodies are not read. */
export { default as decideRetry } from './decideRetry.js';
export type { AttemptEnd, RetryDecision, RetryFacts } from './decideRetry.js';
