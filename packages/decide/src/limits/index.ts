export * from './types.js';
export { default as applyStatement, isExpired } from './applyStatement.js';
export { MAX_TRACKED_RATE, STATEMENT_LIFETIME_MS } from './constants.js';
export { default as createSendLimiter, toIntervalMs } from './createSendLimiter.js';
export type { SendLimiter } from './createSendLimiter.js';
