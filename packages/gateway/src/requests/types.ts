import type { Route, RouteOrganisation } from '@bergamotcove/config';
import type { AttemptEnd } from '@bergamotcove/decide';
import type { RequestFacts } from '../ports.js';

/** Status and headers of an answer, names and values in turn. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: readonly string[];
}

/** An answer that was read whole. */
export interface WholeAnswer {
  readonly head: AnswerHead;
  readonly body: Buffer;
}

/** An attempt after which the caller has no answer yet. */
export interface EndedAttempt {
  readonly type: 'ended';
  readonly end: AttemptEnd;
  readonly answer?: WholeAnswer;
  /** Whether stage results that the attempt needed do not exist any more. */
  readonly resultsGone: boolean;
  /** Whether the room for a repetition has been taken. */
  readonly retryReserved?: boolean;
}

/** What an attempt came to. */
export type AttemptResult = { readonly type: 'delivered' } | EndedAttempt;

/** A request that was matched to its route and read whole. */
export interface ForwardRequest {
  readonly requestId: string;
  /** The same for requests that are the same, on every host. */
  readonly fingerprint: string;
  readonly method: string;
  readonly path: string;
  /** Headers that are passed on, names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
  readonly facts: RequestFacts;
  readonly route: Route;
  readonly organisation: RouteOrganisation | undefined;
  readonly priority: number;
  /** Worth of an answer on time, compared with that of other requests. */
  readonly value: number;
  readonly arrivedAtMs: number;
  /** Monotonic time after which an answer is of no use, or the operator wants none any more. */
  readonly deadlineAtMs: number;
  /** Version of the route table that the request follows. */
  readonly version: number;
}
