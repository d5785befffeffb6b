import {
  formatVersionKey,
  HEADS_PREFIX,
  parseAcceptedDocument,
  type AcceptedDocument,
  type ServiceDocument,
} from '@bergamotcove/config';
import type { StoreClient, StoreEntry } from '../store/types.js';

/** Facts of one acceptance. */
export interface AcceptOptions {
  readonly changeId: string;
  readonly acceptedBy: string;
  readonly acceptedAtMs: number;
  /** Version that the document replaces; the current one when absent. Zero means that none exists. */
  readonly expectedVersion?: number;
}

/** Result of an acceptance. */
export type AcceptResult =
  | { readonly type: 'accepted'; readonly version: number }
  | { readonly type: 'conflict'; readonly current: AcceptedDocument | undefined }
  /** The write may have taken effect and the store cannot be asked. */
  | { readonly type: 'unknown'; readonly changeId: string };

const readHead = (entry: StoreEntry | undefined): AcceptedDocument | undefined =>
  entry === undefined ? undefined : parseAcceptedDocument(entry.value, { source: entry.key });

const settleLostReply = async (
  store: StoreClient,
  document: ServiceDocument,
  accepted: AcceptedDocument,
): Promise<AcceptResult> => {
  try {
    const entry = await store.get(formatVersionKey(document.service, accepted.version));
    if (readHead(entry)?.changeId === accepted.changeId) {
      return { type: 'accepted', version: accepted.version };
    }
    return entry === undefined
      ? { type: 'unknown', changeId: accepted.changeId }
      : { type: 'conflict', current: readHead(await store.get(HEADS_PREFIX + document.service)) };
  } catch {
    return { type: 'unknown', changeId: accepted.changeId };
  }
};

/**
 * Accepts a service document as the next version by compare-and-swap.
 *
 * @param store - configuration store
 * @param document - checked document
 * @param options - who accepts, and the version that it replaces
 * @returns whether the version is accepted, lost a race, or cannot be known
 * @throws PlatformError when the store could not be read before anything was written
 * @example
 * await acceptDocument(store, document, { changeId: randomUUID(), acceptedBy: 'ann', acceptedAtMs: Date.now() });
 */
export default async function acceptDocument(
  store: StoreClient,
  document: ServiceDocument,
  options: AcceptOptions,
): Promise<AcceptResult> {
  const headKey = HEADS_PREFIX + document.service;
  const entry = await store.get(headKey);
  const current = readHead(entry);
  const currentVersion = current?.version ?? 0;
  if (options.expectedVersion !== undefined && options.expectedVersion !== currentVersion) {
    return { type: 'conflict', current };
  }
  const accepted: AcceptedDocument = {
    document,
    version: currentVersion + 1,
    changeId: options.changeId,
    acceptedBy: options.acceptedBy,
    acceptedAtMs: options.acceptedAtMs,
  };
  const value = JSON.stringify(accepted);
  try {
    const result = await store.txn(
      [{ type: 'mod-revision', key: headKey, revision: entry?.modRevision ?? '0' }],
      [
        { type: 'put', key: headKey, value },
        { type: 'put', key: formatVersionKey(document.service, accepted.version), value },
      ],
    );
    return result.succeeded
      ? { type: 'accepted', version: accepted.version }
      : { type: 'conflict', current: readHead(await store.get(headKey)) };
  } catch {
    return settleLostReply(store, document, accepted);
  }
}
