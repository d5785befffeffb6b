import type { ClaimOp, ClaimOpResult, ClaimRecord } from '@bergamotcove/protocol';
import applyOp from './applyOp.js';

/**
 * Whether the claim of an outcome or a release is not known. Another host may have appended it to a part of the log
 * that this host has not read.
 */
const isClaimMissing = (record: ClaimRecord | undefined, op: ClaimOp): boolean => {
  if (op.type === 'claim') {
    return false;
  }
  if (record === undefined || record.claimId === op.claimId) {
    return record === undefined;
  }
  const { status } = record;
  const settled =
    status.type === 'finished' && !(status.outcome.type === 'refused' && status.outcome.outcome === 'unknown');
  return !settled;
};

/**
 * Decides whether an operation has to be appended, given the durable record of its key. An operation that took effect
 * through an earlier append, for instance one whose reply was lost, is recognised by its claim id. An outcome or a
 * release whose claim is not known is still appended once: the append fails if this host's view is stale, and the
 * read that follows shows the claim.
 *
 * @param record - durable record of the key, if any
 * @param op - the operation
 * @param tried - whether the operation was already part of an append
 * @returns the result, or undefined when the operation must be appended
 * @example
 * const result = evaluateOp(records.get(op.keyHash), op, false);
 */
export default function evaluateOp(
  record: ClaimRecord | undefined,
  op: ClaimOp,
  tried: boolean,
): ClaimOpResult | undefined {
  if (applyOp(record, op) !== record || (!tried && isClaimMissing(record, op))) {
    return undefined;
  }
  if (op.type !== 'claim' || record === undefined) {
    return { type: 'done' };
  }
  const owned = record.claimId === op.claimId && record.status.type !== 'released';
  return owned ? { type: 'done' } : { type: 'taken', record };
}
