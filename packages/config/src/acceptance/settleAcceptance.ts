import type { AcceptedDocument } from '../types.js';
import type { AcceptanceOutcome } from './types.js';

/** Documents in the store after a write whose reply was lost or whose condition failed. */
export interface StoredDocuments {
  /** Document under the version key of the write. */
  readonly atVersion: AcceptedDocument | undefined;
  readonly head: AcceptedDocument | undefined;
}

/**
 * Determines the outcome of a write from its change id. Precondition: the write cannot take effect later, because
 * its condition has failed or its change id is in the store.
 *
 * @param accepted - the value that the write contained
 * @param stored - the documents that the store now holds
 * @returns accepted, accepted and replaced by a later version, or conflict
 * @example
 * settleAcceptance(mine, { atVersion: mine, head: newer }); // { type: 'accepted', version: 4, overtakenBy: 5 }
 */
export default function settleAcceptance(accepted: AcceptedDocument, stored: StoredDocuments): AcceptanceOutcome {
  const { atVersion, head } = stored;
  if (atVersion?.changeId !== accepted.changeId) {
    return { type: 'conflict', current: head };
  }
  const { version } = accepted;
  return head !== undefined && head.version > version
    ? { type: 'accepted', version, overtakenBy: head.version }
    : { type: 'accepted', version };
}
