/** Decisions about requests that are forwarded without reading their bodies. */
export { default as choosePool } from './choosePool.js';
export type { PoolShare } from './choosePool.js';
export { default as decideRetry } from './decideRetry.js';
export type { AttemptEnd, RetryDecision, RetryFacts } from './decideRetry.js';
export { default as createSizeAverages } from './createSizeAverages.js';
export type { SizeAverages } from './createSizeAverages.js';
export { default as computeIdleTimeoutMs } from './computeIdleTimeoutMs.js';
export { default as rankRequest } from './rankRequest.js';
export { default as acceptsWhileDraining } from './acceptsWhileDraining.js';
export type { DrainTimes } from './acceptsWhileDraining.js';
export { default as valueRequest, LATE_VALUE } from './valueRequest.js';
export type { ValueFacts } from './valueRequest.js';
