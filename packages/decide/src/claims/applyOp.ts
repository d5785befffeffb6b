import type { ClaimOp, ClaimRecord, RecordedOutcome } from '@bergamotcove/protocol';

const isUnknown = (outcome: RecordedOutcome): boolean => outcome.type === 'refused' && outcome.outcome === 'unknown';

/**
 * Whether the operation still tells something about the claim. An unknown outcome over an unknown outcome does not;
 * if it counted as a change, its writer would append it again after each append.
 */
const settlesMore = (record: ClaimRecord, op: ClaimOp): boolean => {
  if (record.status.type === 'finished' && isUnknown(record.status.outcome)) {
    return op.type !== 'outcome' || !isUnknown(op.outcome);
  }
  return record.status.type === 'open';
};

const applyClaim = (record: ClaimRecord | undefined, op: Extract<ClaimOp, { type: 'claim' }>): ClaimRecord => {
  const { bodyHash, claimId, hostId, wallMs } = op;
  const free =
    record === undefined ||
    (record.status.type === 'released' && record.claimId !== claimId && record.bodyHash === bodyHash);
  return free ? { bodyHash, claimId, hostId, wallMs, status: { type: 'open' } } : record;
};

/**
 * Applies one operation of a log entry to the record of its key. Every host applies the same entries in the same
 * order, so that all of them agree on who owns a key. An operation that does not apply changes nothing.
 *
 * @param record - record before the operation, if the key has one
 * @param op - the operation
 * @returns the record after the operation
 * @example
 * const record = applyOp(undefined, { type: 'claim', keyHash, bodyHash, claimId, hostId, wallMs });
 */
export default function applyOp(record: ClaimRecord | undefined, op: ClaimOp): ClaimRecord | undefined {
  if (op.type === 'claim') {
    return applyClaim(record, op);
  }
  if (record === undefined && op.type === 'release') {
    const { bodyHash, claimId, hostId, wallMs } = op;
    return { bodyHash, claimId, hostId, wallMs, status: { type: 'released' } };
  }
  if (record === undefined || record.claimId !== op.claimId || !settlesMore(record, op)) {
    return record;
  }
  return op.type === 'release'
    ? { ...record, status: { type: 'released' } }
    : { ...record, status: { type: 'finished', outcome: op.outcome, wallMs: op.wallMs } };
}
