import type { VersionedDocument } from '@bergamotcove/protocol';
import { MAX_PULL_CHARS } from '../constants.js';

/**
 * Takes documents from the front until the size limit of an answer is reached; at least one.
 *
 * @param documents - documents
 * @returns the documents that fit; the others follow with the next pull
 */
export default function boundDocuments(documents: readonly VersionedDocument[]): VersionedDocument[] {
  let sizeChars = 0;
  return documents.filter(({ text }, index) => {
    sizeChars += text.length;
    return index === 0 || sizeChars <= MAX_PULL_CHARS;
  });
}
