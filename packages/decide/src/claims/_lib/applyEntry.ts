import type { ClaimRecord, LogEntry } from '@bergamotcove/protocol';
import applyOp from '../applyOp.js';
import findRecord from '../findRecord.js';
import type { ShardState } from '../types.js';

/** Applies the next entry of the log. */
export default function applyEntry(state: ShardState, entry: LogEntry): ShardState {
  const recent = new Map<string, ClaimRecord>(state.recent);
  entry.ops.forEach((op) => {
    const record = applyOp(recent.get(op.keyHash) ?? findRecord(state, op.keyHash), op);
    if (record !== undefined) {
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
