/** Decisions about requests that are forwarded without reading their bodies. */
export { default as choosePool } from './choosePool.js';
export type { PoolShare } from './choosePool.js';
export { default as decideRetry } from './decideRetry.js';
export type { AttemptEnd, RetryDecision, RetryFacts } from './decideRetry.js';
export { default as createSizeBook } from './createSizeBook.js';
export type { SizeBook } from './createSizeBook.js';
export { default as limitSilenceMs } from './limitSilenceMs.js';
export { default as rankRequest } from './rankRequest.js';
export { default as takesWhileDraining } from './takesWhileDraining.js';
export type { DrainTimes } from './takesWhileDraining.js';
export { default as valueRequest, LATE_VALUE } from './valueRequest.js';
export type { ValueFacts } from './valueRequest.js';
