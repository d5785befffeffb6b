import type { AcceptedDocument } from '../types.js';
import type { AcceptanceOutcome } from './types.js';

/** What the store holds after a write whose reply was lost, or whose condition failed. */
export interface AcceptanceEvidence {
  /** Document under the version key of the write. */
  readonly atVersion: AcceptedDocument | undefined;
  readonly head: AcceptedDocument | undefined;
}

/**
 * Tells from the change id what became of a write. The write must be unable to take effect later: either its condition
 * has failed, or its change id is in the store.
 *
 * @param accepted - the value that was written
 * @param evidence - what the store holds now
 * @returns accepted, accepted and overtaken, or conflict
 * @example
 * settleAcceptance(mine, { atVersion: mine, head: newer }); // { type: 'accepted', version: 4, overtakenBy: 5 }
 */
export default function settleAcceptance(accepted: AcceptedDocument, evidence: AcceptanceEvidence): AcceptanceOutcome {
  const { atVersion, head } = evidence;
  if (atVersion?.changeId !== accepted.changeId) {
    return { type: 'conflict', current: head };
  }
  const { version } = accepted;
  return head !== undefined && head.version > version
    ? { type: 'accepted', version, overtakenBy: head.version }
    : { type: 'accepted', version };
}
