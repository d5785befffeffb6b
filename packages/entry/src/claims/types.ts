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
  /** Longest time that any request of the service may take; after it, a claimed call cannot be sent any more. */
  readonly longestMs: number;
  /** Whether the servers of the `once` stage run one key only once by themselves. */
  readonly serversCheckKeys: boolean;
  /** Asks the servers whether the call ran; absent when the stage has no status query. */
  readonly queryStatus?: () => Promise<boolean | undefined>;
}

/** What is known about a key before its request starts. */
export type ClaimLookup =
  | { readonly type: 'free' }
  | { readonly type: 'other-body' }
  | { readonly type: 'finished'; readonly result: RequestResult }
  /** The key is claimed and has no settled outcome yet. */
  | { readonly type: 'claimed' }
  | { readonly type: 'unavailable'; readonly retryAfterMs: number };

/** How the wait for another request under the same key ended. */
export type ClaimWait =
  | { readonly type: 'settled'; readonly result: RequestResult }
  /** The other request provably did not run; this one may claim the key. */
  | { readonly type: 'free' }
  /** Unknown, but the servers run one key only once by themselves, so that the call can be sent again. */
  | { readonly type: 'server-decides' };

/** Keeps the claims of idempotency keys. Its promises never reject. */
export interface ClaimBook {
  lookUp(request: ClaimRequest): Promise<ClaimLookup>;
  /** Waits, within the deadline, for the outcome of the request that holds the key. */
  awaitOutcome(request: ClaimRequest): Promise<ClaimWait>;
  /** Claims the key; `onContended` is called when the claim waits for another request that holds it. */
  claim(request: ClaimRequest, onContended?: () => void): Promise<ClaimDecision>;
  /** Records how a request that asked for a claim ended; waits at most 500 ms for the store. */
  record(request: ClaimRequest, result: RequestResult): Promise<void>;
  /** Waits until every outcome is durable or handed to another host; returns how many are neither. */
  flush(limitMs: number): Promise<number>;
  close(): void;
}
