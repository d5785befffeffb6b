import compactRecords from '../compactRecords.js';
import { COMPACT_BYTES, COMPACT_ENTRIES, FULL_RETRY_MS } from '../constants.js';
import type { ShardOptions, ShardState, ShardStep } from '../types.js';

/** Whether the log is long enough to be compacted; a full shard is compacted again only after a delay. */
export function isCompactionDue(state: ShardState, nowMs: number, options: ShardOptions): boolean {
  const limit = options.compactEntries ?? COMPACT_ENTRIES;
  const isLong = state.logEntries >= limit || state.logBytes >= COMPACT_BYTES;
  return state.full ? nowMs >= state.fullUntilMs : isLong;
}

/** Starts a compaction; a shard that does not fit into its snapshot and segments is marked as full instead. */
export function startCompaction(state: ShardState, nowMs: number, options: ShardOptions): ShardStep {
  const records = new Map([...state.base, ...state.recent]);
  const { runs, segments, nextSegment } = state;
  const compacted = compactRecords({ records, runs, segments, nextSegment }, options);
  if (compacted === undefined) {
    return { state: { ...state, full: true, fullUntilMs: nowMs + FULL_RETRY_MS }, actions: [] };
  }
  const throughSeq = state.nextSeq - 1;
  const dropped = segments.map(({ number }) => number).filter((n) => !compacted.segments.some((s) => s.number === n));
  return {
    state: { ...state, phase: { type: 'compacting', compacted, throughSeq } },
    actions: [{ type: 'compact', snapshotRevision: state.snapshotRevision, throughSeq, compacted, dropped }],
  };
}
