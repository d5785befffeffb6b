import { createHash } from 'node:crypto';
import type { ClaimOp, ClaimRecord, RecordedOutcome } from '@bergamotcove/protocol';
import type { ClaimRequest } from '../types.js';

/** 22 characters of base64url are 132 bits; longer hashes would only enlarge the snapshots. */
const HASH_CHARS = 22;

const hash = (text: string): string => createHash('sha256').update(text).digest('base64url').slice(0, HASH_CHARS);

/** Hashes the organisation, service and idempotency key of a request. */
export const hashKey = (request: ClaimRequest): string =>
  hash(JSON.stringify([request.organisation, request.service, request.idempotencyKey]));

/** Hashes the body hash of a request to the length that is recorded. */
export const hashBody = (request: ClaimRequest): string => hash(request.bodyHash);

/** Creates the operation that claims the key of a request for this process. */
export const formatClaim = (
  request: ClaimRequest,
  identity: { readonly processId: string; readonly wallMs: number },
): ClaimOp => ({
  type: 'claim',
  keyHash: hashKey(request),
  bodyHash: hashBody(request),
  claimId: request.requestId,
  hostId: identity.processId,
  wallMs: identity.wallMs,
});

/** Creates the operation that releases a claim whose call was never sent. */
export const formatRelease = (
  keyHash: string,
  claim: Pick<ClaimRecord, 'bodyHash' | 'claimId' | 'hostId'>,
  wallMs: number,
): ClaimOp => ({
  type: 'release',
  keyHash,
  bodyHash: claim.bodyHash,
  claimId: claim.claimId,
  hostId: claim.hostId,
  wallMs,
});

/** Creates the operation that records the outcome of a claim. */
export const formatOutcome = (keyHash: string, claimId: string, outcome: RecordedOutcome, wallMs: number): ClaimOp => ({
  type: 'outcome',
  keyHash,
  claimId,
  outcome,
  wallMs,
});
