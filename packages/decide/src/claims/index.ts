/** Claims of idempotency keys, kept in shard logs. */
export * from './constants.js';
export * from './types.js';
export { default as advanceShard } from './advanceShard.js';
export { default as applyOp } from './applyOp.js';
export { default as compactRecords, fromSnapshot, toSnapshot } from './compactRecords.js';
export { default as createShardState } from './createShardState.js';
export { default as evaluateOp } from './evaluateOp.js';
export { default as findRecord } from './findRecord.js';
export { default as isSameBody } from './isSameBody.js';
export { default as planCommitInterval } from './planCommitInterval.js';
export { default as rankShardOwners } from './rankShardOwners.js';
export { default as shardOfKey } from './shardOfKey.js';
