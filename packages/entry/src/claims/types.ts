import type { ClaimDecision, RequestResult } from '@bergamotcove/decide';

/** Identity of a non-idempotent request. */
export interface ClaimRequest {
  readonly organisation: string;
  readonly service: string;
  readonly idempotencyKey: string;
  readonly bodyHash: string;
  readonly requestId: string;
  /** Monotonic time until which waiting for the store makes sense. */
  readonly deadlineAtMs: number;
}

/** What is known about a key before its request starts. */
export type ClaimLookup =
  | { readonly type: 'free' }
  | { readonly type: 'other-body' }
  | { readonly type: 'finished'; readonly result: RequestResult }
  /** The key is claimed and has no outcome yet. */
  | { readonly type: 'claimed' }
  | { readonly type: 'unavailable'; readonly retryAfterMs: number };

/** Keeps the claims of idempotency keys. */
export interface ClaimBook {
  lookUp(request: ClaimRequest): Promise<ClaimLookup>;
  claim(request: ClaimRequest): Promise<ClaimDecision>;
  record(request: ClaimRequest, result: RequestResult): Promise<void>;
  close(): void;
}
