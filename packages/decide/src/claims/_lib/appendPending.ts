import type { ClaimOpResult } from '@bergamotcove/protocol';
import { COMMIT_BURST, COMMIT_INTERVAL_MS, MAX_BATCH_BYTES } from '../constants.js';
import evaluateOp from '../evaluateOp.js';
import findRecord from '../findRecord.js';
import type { PendingOp, ShardAction, ShardOptions, ShardState, ShardStep } from '../types.js';

const evaluate = (state: ShardState, { op }: PendingOp): ClaimOpResult | undefined => {
  const result = evaluateOp(findRecord(state, op.keyHash), op);
  return result === undefined && state.full && op.type === 'claim' ? { type: 'full' } : result;
};

/** Answers the operations that what is durable already decides, and the reads that waited for a fresh view. */
const settleDecided = (state: ShardState): ShardStep => {
  const results = state.pending.map((pending) => ({ pending, result: evaluate(state, pending) }));
  const settled = results.flatMap(({ pending, result }): ShardAction[] =>
    result === undefined ? [] : [{ type: 'settle', opId: pending.opId, result }],
  );
  const reads = state.refreshes.map((readId): ShardAction => ({ type: 'refreshed', readId }));
  const pending = results.filter(({ result }) => result === undefined).map((decided) => decided.pending);
  return { state: { ...state, pending, refreshes: [] }, actions: [...settled, ...reads] };
};

/** Takes operations for one entry: at most one per key, because the second depends on whether the first wins. */
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

const refillTokens = (state: ShardState, nowMs: number): ShardState => ({
  ...state,
  commitTokens: Math.min(COMMIT_BURST, state.commitTokens + (nowMs - state.tokensAtMs) / COMMIT_INTERVAL_MS),
  tokensAtMs: nowMs,
});

const startAppend = (state: ShardState, options: ShardOptions): ShardStep => {
  const batch = takeBatch(state.pending);
  const ops = batch.map((pending) => ({ ...pending, tried: true }));
  const entry = { entryId: `${options.hostId}/${state.nextEntry}`, ops: ops.map(({ op }) => op) };
  return {
    state: {
      ...state,
      phase: { type: 'appending', entry, ops },
      pending: state.pending.filter((pending) => !batch.includes(pending)),
      commitTokens: state.commitTokens - 1,
      nextEntry: state.nextEntry + 1,
    },
    actions: [{ type: 'append', seq: state.nextSeq, snapshotRevision: state.snapshotRevision, entry }],
  };
};

/** Continues a loaded shard without a call in flight: settles what is decided and commits the rest as one entry. */
export default function appendPending(loaded: ShardState, nowMs: number, options: ShardOptions): ShardStep {
  const settled = settleDecided({ ...loaded, phase: { type: 'ready' } });
  if (settled.state.pending.length === 0) {
    return settled;
  }
  const state = refillTokens(settled.state, nowMs);
  if (state.commitTokens >= 1) {
    const step = startAppend(state, options);
    return { state: step.state, actions: [...settled.actions, ...step.actions] };
  }
  if (state.wakeArmed) {
    return { state, actions: settled.actions };
  }
  const delayMs = (1 - state.commitTokens) * COMMIT_INTERVAL_MS;
  return { state: { ...state, wakeArmed: true }, actions: [...settled.actions, { type: 'wake', delayMs }] };
}
