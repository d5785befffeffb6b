import type { ClaimRecord } from '@bergamotcove/protocol';
import { isShortForm, shortenBodyHash } from './_lib/finishedClaims.js';

/**
 * Checks whether a claim was made for a request body with the given hash.
 *
 * @param record - record of the key
 * @param bodyHash - hash of the body of another request with the same key
 * @returns true if the bodies are the same
 * @example
 * if (!isSameBody(record, hashBody(request))) refuse('key-reused');
 */
export default function isSameBody(record: ClaimRecord, bodyHash: string): boolean {
  return record.bodyHash === (isShortForm(record) ? shortenBodyHash(bodyHash) : bodyHash);
}
