/** Batches of stage pieces over all hosts of a region. */
export type * from './types.js';
export { default as createBatchQueue } from './createBatchQueue.js';
export type { BatchQueue } from './createBatchQueue.js';
