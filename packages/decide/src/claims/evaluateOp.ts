import type { ClaimOp, ClaimOpResult, ClaimRecord } from '@bergamotcove/protocol';
import applyOp from './applyOp.js';

/**
 * Decides whether an operation has to be appended, given everything durable so far. An operation that took effect
 * through an earlier append, for instance one whose reply was lost, is recognised by its claim id.
 *
 * @param record - durable record of the key, if any
 * @param op - the operation
 * @returns the result, or undefined when the operation must be appended
 * @example
 * const result = evaluateOp(records.get(op.keyHash), op);
 */
export default function evaluateOp(record: ClaimRecord | undefined, op: ClaimOp): ClaimOpResult | undefined {
  if (applyOp(record, op) !== record) {
    return undefined;
  }
  if (op.type !== 'claim' || record === undefined) {
    return { type: 'done' };
  }
  const owned = record.claimId === op.claimId && record.status.type !== 'released';
  return owned ? { type: 'done' } : { type: 'taken', record };
}
