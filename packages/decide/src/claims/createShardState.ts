import type { ShardState } from './types.js';

/**
 * Creates the state of a shard whose log has not been read.
 *
 * @returns the initial state
 */
export default function createShardState(): ShardState {
  return {
    phase: { type: 'cold' },
    snapshotRevision: '0',
    nextSeq: 1,
    base: new Map(),
    recent: new Map(),
    runs: [],
    segments: [],
    nextSegment: 1,
    logEntries: 0,
    logBytes: 0,
    pending: [],
    refreshes: [],
    commitWanted: false,
    failures: 0,
    nextEntry: 1,
    full: false,
    fullUntilMs: 0,
  };
}
