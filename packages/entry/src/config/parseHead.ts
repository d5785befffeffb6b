import { createHash } from 'node:crypto';
import { parseAcceptedDocument } from '@bergamotcove/config';
import type { Logger } from '@bergamotcove/log';
import type { StoreEntry } from '@bergamotcove/backends';
import type { VersionedDocument } from '@bergamotcove/protocol';

const HASH_CHARS = 16;

/**
 * Parses the entry of the configuration store that holds the current version of a service document.
 *
 * @param entry - key and value of the entry
 * @param logger - receives `configInvalid` for an entry that does not match the schema
 * @returns the document with its version and hash, or undefined
 * @example
 * const document = readHead(entry, logger);
 */
export default function parseHead(entry: StoreEntry, logger: Logger): VersionedDocument | undefined {
  try {
    const { document, version } = parseAcceptedDocument(entry.value, { source: entry.key });
    const hash = createHash('sha256').update(entry.value).digest('hex').slice(0, HASH_CHARS);
    return { service: document.service, version, hash, text: entry.value };
  } catch (cause) {
    logger.event('configInvalid', { key: entry.key, error: String(cause) });
    return undefined;
  }
}
