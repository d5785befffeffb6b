import type { ClaimOp, ClaimRecord, RecordedOutcome } from '@bergamotcove/protocol';

/** Ranks how much is known from an outcome: 0 for nothing, 1 for whether the request ran, 2 for its answer. */
const rankOutcome = (outcome: RecordedOutcome): number => {
  if (outcome.type === 'answered') {
    return 2;
  }
  return outcome.type === 'refused' && outcome.outcome === 'unknown' ? 0 : 1;
};

/**
 * Whether the operation adds information to the claim. An outcome that adds nothing to the recorded one must not count
 * as a change, because its writer would append it again after each append. A peer may record that the call ran while
 * the claiming host is only unreachable; the answer of that host then still replaces the record.
 */
const addsInformation = (record: ClaimRecord, op: ClaimOp): boolean => {
  if (record.status.type !== 'finished') {
    return record.status.type === 'open';
  }
  const known = rankOutcome(record.status.outcome);
  return op.type === 'outcome' ? rankOutcome(op.outcome) > known : known === 0;
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
 * order, so that all hosts agree on the owner of a key. An operation that does not apply changes nothing.
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
  if (record === undefined || record.claimId !== op.claimId || !addsInformation(record, op)) {
    return record;
  }
  return op.type === 'release'
    ? { ...record, status: { type: 'released' } }
    : { ...record, status: { type: 'finished', outcome: op.outcome, wallMs: op.wallMs } };
}
