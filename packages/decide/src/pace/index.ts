export * from './types.js';
export { default as advancePace, limitColdMs, readColdUntilMs, readPaceRate, WARM } from './advancePace.js';
export { default as computePaceRates } from './computePaceRates.js';
export { NEWS_LIFETIME_MS, PERMISSION_MS } from './constants.js';
