import type { ClaimOpResult } from '@bergamotcove/protocol';
import { MAX_BATCH_BYTES } from '../constants.js';
import evaluateOp from '../evaluateOp.js';
import findRecord from '../findRecord.js';
import type { PendingOp, ShardAction, ShardOptions, ShardState, ShardStep } from '../types.js';
import { isCompactionDue, startCompaction } from './compactShard.js';

const evaluate = (state: ShardState, { op, tried }: PendingOp): ClaimOpResult | undefined => {
  const result = evaluateOp(findRecord(state, op.keyHash), op, tried);
  return result === undefined && state.full && op.type === 'claim' ? { type: 'full' } : result;
};

/** Settles the pending operations whose results follow from the durable records. */
const settleDecided = (state: ShardState): ShardStep => {
  const results = state.pending.map((pending) => ({ pending, result: evaluate(state, pending) }));
  const settled = results.flatMap(({ pending, result }): ShardAction[] =>
    result === undefined ? [] : [{ type: 'settle', opId: pending.opId, result }],
  );
  const pending = results.filter(({ result }) => result === undefined).map((decided) => decided.pending);
  return { state: { ...state, pending }, actions: settled };
};

/** Selects operations for one entry, at most one per key: a second one depends on whether the first succeeds. */
const takeBatch = (pending: readonly PendingOp[]): readonly PendingOp[] => {
  const keys = new Set<string>();
  let sizeBytes = 0;
  return pending.filter(({ op }) => {
    sizeBytes += JSON.stringify(op).length;
    if (keys.has(op.keyHash) || (sizeBytes > MAX_BATCH_BYTES && keys.size > 0)) {
      return false;
    }
    keys.add(op.keyHash);
    return true;
  });
};

const startAppend = (state: ShardState, options: ShardOptions): ShardStep => {
  const batch = takeBatch(state.pending);
  const ops = batch.map((pending) => ({ ...pending, tried: true }));
  const entry = { entryId: `${options.hostId}/${state.nextEntry}`, ops: ops.map(({ op }) => op) };
  return {
    state: {
      ...state,
      phase: { type: 'appending', entry, ops },
      pending: state.pending.filter((pending) => !batch.includes(pending)),
      nextEntry: state.nextEntry + 1,
    },
    actions: [{ type: 'append', seq: state.nextSeq, snapshotRevision: state.snapshotRevision, entry }],
  };
};

/** Requests a turn to commit, unless one is already requested. */
export function requestCommit(state: ShardState): ShardStep {
  return state.commitWanted
    ? { state, actions: [] }
    : { state: { ...state, commitWanted: true }, actions: [{ type: 'commit-wanted' }] };
}

/** Compacts the shard if its log is long; otherwise appends the pending operations as one entry. */
export function commitPending(state: ShardState, nowMs: number, options: ShardOptions): ShardStep {
  const compaction = isCompactionDue(state, nowMs, options) ? startCompaction(state, nowMs, options) : undefined;
  if (compaction?.state.phase.type === 'compacting') {
    return compaction;
  }
  const settled = settleDecided(compaction?.state ?? state);
  if (settled.state.pending.length === 0) {
    return settled;
  }
  const step = startAppend(settled.state, options);
  return { state: step.state, actions: [...settled.actions, ...step.actions] };
}

/** Settles the decided operations of a loaded shard without a call in flight, and requests a turn for the others. */
export default function appendPending(loaded: ShardState, nowMs: number, options: ShardOptions): ShardStep {
  const settled = settleDecided({ ...loaded, phase: { type: 'ready' } });
  if (settled.state.pending.length === 0 && !isCompactionDue(settled.state, nowMs, options)) {
    return settled;
  }
  const step = requestCommit(settled.state);
  return { state: step.state, actions: [...settled.actions, ...step.actions] };
}
