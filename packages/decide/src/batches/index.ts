/** Batching of stage pieces across all hosts of a region. */
export type * from './types.js';
export { default as createBatchQueue } from './createBatchQueue.js';
export type { BatchQueue } from './createBatchQueue.js';
export { USABLE_ROOM_SHARE } from './_lib/serverState.js';
