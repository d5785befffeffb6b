import type { Outcome } from '@bergamotcove/decide';

/** A caller's request after its body and headers were checked. */
export interface CallerRequest {
  readonly service: string;
  readonly organisation: string;
  readonly operation: string;
  readonly input: unknown;
  readonly deadlineMs?: number;
  readonly stream: boolean;
  readonly idempotencyKey?: string;
  /** Number of the last event that the caller has; the stream resumes after it. */
  readonly lastEventId?: number;
  readonly traceparent?: string;
}

/** Body of a refusal: a problem document as in RFC 9457. */
export interface Problem {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly outcome: Outcome;
  readonly detail?: string;
  readonly retryAfterMs?: number;
  /** Wrong fields of the request by path. */
  readonly errors?: readonly { readonly path: string; readonly message: string }[];
}
