import {
  formatVersionKey,
  HEADS_PREFIX,
  parseAcceptedDocument,
  VERSIONS_PREFIX,
  type AcceptedDocument,
} from '@bergamotcove/config';
import { prefixEnd } from '../store/_lib/wire.js';
import type { StoreClient, StoreEntry } from '../store/types.js';

/** The current version of a service document, with the revision that a compare-and-swap needs. */
export interface Head {
  readonly current: AcceptedDocument | undefined;
  /** Modification revision of the head key; '0' when the service is new. */
  readonly revision: string;
}

/** Parses and validates the accepted document of a store entry. */
export const parseEntry = (entry: StoreEntry | undefined): AcceptedDocument | undefined =>
  entry === undefined ? undefined : parseAcceptedDocument(entry.value, { source: entry.key });

/**
 * Reads the current version of a service document.
 *
 * @param store - configuration store
 * @param service - service name
 * @returns the head
 * @throws BackendError when the store does not answer, ConfigError when the stored document is invalid
 */
export async function readHead(store: StoreClient, service: string): Promise<Head> {
  const entry = await store.get(HEADS_PREFIX + service);
  return { current: parseEntry(entry), revision: entry?.modRevision ?? '0' };
}

/**
 * Reads one version of a service document.
 *
 * @param store - configuration store
 * @param service - service name
 * @param version - version number
 * @returns the version, or undefined when it does not exist
 * @throws BackendError when the store does not answer, ConfigError when the stored document is invalid
 */
export async function readVersion(
  store: StoreClient,
  service: string,
  version: number,
): Promise<AcceptedDocument | undefined> {
  return parseEntry(await store.get(formatVersionKey(service, version)));
}

/** Bounds of {@link readHistory}. */
export interface HistoryBounds {
  /** Versions up to and including this one are omitted. */
  readonly afterVersion: number;
  /** Versions above this one are omitted; without it the range has no upper bound. */
  readonly upToVersion?: number;
}

// A response may have 1 MB; a document has up to 8 KB, and base64 adds a third.
const HISTORY_PAGE_SIZE = 50;

/**
 * Reads versions of a service document in ascending order, page by page.
 *
 * @param store - configuration store
 * @param service - service name
 * @param bounds - range of versions
 * @returns the versions
 * @throws BackendError when the store does not answer, ConfigError when a stored document is invalid
 * @example
 * const newer = await readHistory(store, 'clerk', { afterVersion: 12 });
 */
export async function readHistory(
  store: StoreClient,
  service: string,
  bounds: HistoryBounds,
): Promise<readonly AcceptedDocument[]> {
  const { afterVersion, upToVersion } = bounds;
  const rangeEnd =
    upToVersion === undefined ? prefixEnd(`${VERSIONS_PREFIX}${service}/`) : formatVersionKey(service, upToVersion + 1);
  const from = formatVersionKey(service, afterVersion + 1);
  const { entries } = await store.range(from, { rangeEnd, limit: HISTORY_PAGE_SIZE });
  const page = entries.map(parseEntry).filter((document) => document !== undefined);
  const last = page.at(-1);
  if (last === undefined || entries.length < HISTORY_PAGE_SIZE) {
    return page;
  }
  return [...page, ...(await readHistory(store, service, { ...bounds, afterVersion: last.version }))];
}
