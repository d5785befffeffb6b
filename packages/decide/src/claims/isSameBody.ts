import type { ClaimRecord } from '@bergamotcove/protocol';
import { isShortForm, shortBody } from './_lib/finishedClaims.js';

/**
 * Whether a claim was made for the body with the given hash.
 *
 * @param record - record of the key
 * @param bodyHash - hash of the body of another request under the key
 * @returns true when the bodies are the same
 * @example
 * if (!isSameBody(record, hashBody(request))) refuse('key-reused');
 */
export default function isSameBody(record: ClaimRecord, bodyHash: string): boolean {
  return record.bodyHash === (isShortForm(record) ? shortBody(bodyHash) : bodyHash);
}
