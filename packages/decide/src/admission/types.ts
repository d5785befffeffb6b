import type { PriorityClass } from '../queue/types.js';

/** A request that asks for admission. */
export interface AdmissionRequest {
  readonly requestId: string;
  readonly organisation: string;
  readonly weight: number;
  readonly priority: PriorityClass;
  /** Estimated work over all stages, in tokens. */
  readonly costTokens: number;
  readonly deadlineAtMs: number;
  /** Time in ms from admission to the answer within which nearly all requests of the kind end. */
  readonly runMs: number;
  /** Median time in ms from admission to the answer of requests of the kind. */
  readonly typicalMs: number;
}

/** Decision on a request for admission. */
export type AdmissionDecision =
  /** The request waits in the fair queue; it may be released at once. */
  | { readonly type: 'queued' }
  /** The request cannot meet its deadline or its organisation is over its limit. No stage ran. */
  | { readonly type: 'refused'; readonly reason: 'over-limit' | 'deadline-passed'; readonly retryAfterMs: number };

/** Limits of an organisation on one entry host. */
export interface LimitShare {
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
}
