/** Detection and blocking of poison requests, which crash the servers that run them. */
export * from './constants.js';
export * from './processTypes.js';
export * from './types.js';
export { default as advancePoison } from './advancePoison.js';
export { default as countCrashes } from './countCrashes.js';
export * from './createCrashDetector.js';
export { default as createCrashDetector } from './createCrashDetector.js';
export { default as createOutputHistory } from './createOutputHistory.js';
export * from './createOutputHistory.js';
export { default as createRunHistory, type RunHistory } from './createRunHistory.js';
export { default as findCrashingParts } from './findCrashingParts.js';
export * from './findCrashingParts.js';
export { default as listPartSuspects } from './listPartSuspects.js';
export * from './listPartSuspects.js';
export { default as noteCrash } from './noteCrash.js';
export { default as RunningAttempts } from './RunningAttempts.js';
export { default as readBlock } from './readBlock.js';
