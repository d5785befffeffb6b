import type { ClaimRecord, LogEntry } from '@bergamotcove/protocol';
import applyOp from '../applyOp.js';
import findRecord from '../findRecord.js';
import type { ShardState } from '../types.js';

/** Applies the next log entry to the records. */
export default function applyEntry(state: ShardState, entry: LogEntry): ShardState {
  const recent = new Map<string, ClaimRecord>(state.recent);
  entry.ops.forEach((op) => {
    const before = recent.get(op.keyHash) ?? findRecord(state, op.keyHash);
    const record = applyOp(before, op);
    // A record in short form is stored under its shortened key and must not be stored a second time.
    if (record !== undefined && record !== before) {
      recent.set(op.keyHash, record);
    }
  });
  return {
    ...state,
    recent,
    nextSeq: state.nextSeq + 1,
    logEntries: state.logEntries + 1,
    logBytes: state.logBytes + JSON.stringify(entry).length,
  };
}
