import { parseServiceDocument, type ServiceDocument } from '@bergamotcove/config';
import { DEADLINE_MS, SERVICE } from '../constants.js';
import type { Variant } from '../types.js';

/**
 * Builds the service document of the matrix.
 *
 * @param variant - how the servers of the `once` stage treat idempotency keys
 * @returns the document
 */
export default function createMatrixDocument(variant: Variant): ServiceDocument {
  const repeatable = ['encode', 'retrieve', 'rerank', 'generate'];
  const estimates = { expectedOutputTokens: 12, longOutputTokens: 64 };
  return parseServiceDocument(
    {
      service: SERVICE,
      team: 'matrix',
      deadlineMs: DEADLINE_MS,
      stages: [
        { name: 'encode', kind: 'encode', pool: 'encoders' },
        { name: 'retrieve', kind: 'retrieve', pool: 'retrievers' },
        { name: 'rerank', kind: 'rerank', pool: 'rerankers' },
        { name: 'generate', kind: 'generate', pool: 'engines', model: 'base' },
        {
          name: 'post',
          kind: 'call',
          pool: 'ledgers',
          effect: 'once',
          statusQuery: variant === 'status-query',
          serversCheckKeys: variant === 'check-keys',
        },
      ],
      operations: [
        { name: 'explain', idempotent: true, priority: 'interactive', stages: repeatable, ...estimates },
        { name: 'post-entry', idempotent: false, priority: 'money', stages: [...repeatable, 'post'], ...estimates },
      ],
      // A ratio of 1 leaves room in the budget for the retries of a single request.
      retry: { budgetRatio: 1, maxAttempts: 3 },
      organisations: { default: { requestsPerSecond: 1_000, tokensPerSecond: 100_000 } },
    },
    { source: 'fault matrix' },
  );
}
