import { createHash } from 'node:crypto';
import type { RequestResult } from '@bergamotcove/decide';
import type { StoreClient, StoreEntry } from '@bergamotcove/platform';
import type { ClaimBook, ClaimLookup, ClaimRequest } from './types.js';

const RETRY_AFTER_MS = 1_000;

interface ClaimRecord {
  readonly requestId: string;
  readonly bodyHash: string;
  readonly result?: RequestResult;
}

const formatKey = (request: ClaimRequest): string => {
  const identity = JSON.stringify([request.organisation, request.service, request.idempotencyKey]);
  return `/bergamot/claims/${createHash('sha256').update(identity).digest('hex')}`;
};

const readRecord = (entry: StoreEntry, request: ClaimRequest): ClaimLookup => {
  const record = JSON.parse(entry.value) as ClaimRecord;
  if (record.bodyHash !== request.bodyHash) {
    return { type: 'other-body' };
  }
  return record.result === undefined ? { type: 'claimed' } : { type: 'finished', result: record.result };
};

/**
 * Keeps one create-only key per claim in the store.
 *
 * @param store - configuration store
 * @returns the claim book
 */
export default function createClaimBook(store: StoreClient): ClaimBook {
  return {
    lookUp: async (request) => {
      try {
        const entry = await store.get(formatKey(request));
        return entry === undefined ? { type: 'free' } : readRecord(entry, request);
      } catch {
        return { type: 'unavailable', retryAfterMs: RETRY_AFTER_MS };
      }
    },
    claim: async (request) => {
      const key = formatKey(request);
      const record: ClaimRecord = { requestId: request.requestId, bodyHash: request.bodyHash };
      try {
        const { succeeded } = await store.txn(
          [{ type: 'create-revision', key, revision: '0' }],
          [{ type: 'put', key, value: JSON.stringify(record) }],
        );
        return succeeded ? { type: 'granted' } : { type: 'unavailable', retryAfterMs: RETRY_AFTER_MS };
      } catch {
        return { type: 'unavailable', retryAfterMs: RETRY_AFTER_MS };
      }
    },
    record: async (request, result) => {
      const record: ClaimRecord = { requestId: request.requestId, bodyHash: request.bodyHash, result };
      await store.txn([], [{ type: 'put', key: formatKey(request), value: JSON.stringify(record) }]);
    },
    close: () => undefined,
  };
}
