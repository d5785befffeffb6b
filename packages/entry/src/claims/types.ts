import type { ClaimDecision, RequestResult } from '@bergamotcove/decide';

/** Identity and limits of a non-idempotent request. */
export interface ClaimRequest {
  readonly organisation: string;
  readonly service: string;
  readonly idempotencyKey: string;
  readonly bodyHash: string;
  readonly requestId: string;
  /** Monotonic time of the deadline; no call to the store waits longer. */
  readonly deadlineAtMs: number;
  /** Maximum duration of any request of the service; after it, a claimed call can no longer be sent. */
  readonly maxDurationMs: number;
  /** Whether the servers of the `once` stage deduplicate calls by idempotency key themselves. */
  readonly serversCheckKeys: boolean;
  /** Asks the servers whether the call ran (undefined: not known); absent when the stage has no status query. */
  readonly queryStatus?: () => Promise<boolean | undefined>;
}

/** What is known about a key before its request starts. */
export type ClaimLookup =
  | { readonly type: 'free' }
  | { readonly type: 'other-body' }
  | { readonly type: 'finished'; readonly result: RequestResult }
  /** The key is claimed and its outcome is not known yet. */
  | { readonly type: 'claimed' }
  | { readonly type: 'unavailable'; readonly retryAfterMs: number };

/** How the wait for another request with the same key ended. */
export type ClaimWait =
  | { readonly type: 'settled'; readonly result: RequestResult }
  /** The other request certainly did not run; this one may claim the key. */
  | { readonly type: 'free' }
  /** Unknown, but the servers deduplicate calls by key themselves, so the call can safely be sent again. */
  | { readonly type: 'server-decides' };

/** Claims idempotency keys and records the outcomes of the claimed requests. Its promises never reject. */
export interface ClaimRegistry {
  /** Reads the state of the key without claiming it. */
  lookUp(request: ClaimRequest): Promise<ClaimLookup>;
  /** Waits, within the deadline, for the outcome of the request that holds the key. */
  awaitOutcome(request: ClaimRequest): Promise<ClaimWait>;
  /** Claims the key; `onContended` is called when the claim waits for another request that holds it. */
  claim(request: ClaimRequest, onContended?: () => void): Promise<ClaimDecision>;
  /** Records the result of a request that asked for a claim; waits at most 500 ms for the store. */
  record(request: ClaimRequest, result: RequestResult): Promise<void>;
  /**
   * Waits, at most `limitMs`, until every outcome is durable or handed over to another host. Returns the number of
   * outcomes that are neither.
   */
  flush(limitMs: number): Promise<number>;
  close(): void;
}
