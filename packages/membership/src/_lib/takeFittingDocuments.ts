import type { VersionedDocument } from '@bergamotcove/protocol';
import { MAX_PULL_CHARS } from '../constants.js';

/**
 * Takes documents in order while their total size is within the limit of an answer, and always the first one.
 *
 * @param documents - documents
 * @returns the documents that fit; the peer gets the others with its next pull
 */
export default function takeFittingDocuments(documents: readonly VersionedDocument[]): VersionedDocument[] {
  let sizeChars = 0;
  return documents.filter(({ text }, index) => {
    sizeChars += text.length;
    return index === 0 || sizeChars <= MAX_PULL_CHARS;
  });
}
