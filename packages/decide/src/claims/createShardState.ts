import { COMMIT_BURST } from './constants.js';
import type { ShardState } from './types.js';

/**
 * Creates the state of a shard that has not been read.
 *
 * @param nowMs - monotonic time
 * @returns the initial state
 */
export default function createShardState(nowMs: number): ShardState {
  return {
    phase: { type: 'cold' },
    snapshotRevision: '0',
    nextSeq: 1,
    base: new Map(),
    recent: new Map(),
    logEntries: 0,
    logBytes: 0,
    pending: [],
    refreshes: [],
    commitTokens: COMMIT_BURST,
    tokensAtMs: nowMs,
    wakeArmed: false,
    failures: 0,
    nextEntry: 1,
    full: false,
  };
}
