import type { Route, RouteOrganisation } from '@bergamotcove/config';
import type { AttemptEnd, StreamOrigin } from '@bergamotcove/decide';
import type { RequestFacts } from '../ports.js';

/** Status and headers of an answer. The headers are a flat list of alternating names and values. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: readonly string[];
}

/** An answer that was read in full. */
export interface WholeAnswer {
  readonly head: AnswerHead;
  readonly body: Buffer;
}

/** An attempt that ended without delivering an answer to the caller. */
export interface EndedAttempt {
  readonly type: 'ended';
  readonly end: AttemptEnd;
  readonly answer?: WholeAnswer;
  /** Whether stage results that the attempt needed no longer exist. */
  readonly resultsGone: boolean;
  /** Whether nothing was passed on because the origin of the stream could not be recorded; no other server is tried. */
  readonly unrecorded?: boolean;
  /** Whether the retry is already charged to the budget. */
  readonly retryReserved?: boolean;
  /** Whether this host gave up the attempt because its server sent nothing. */
  readonly silent?: boolean;
}

/** Result of an attempt. */
export type AttemptResult = { readonly type: 'delivered' } | EndedAttempt;

/** A request that was matched to its route and read in full. */
export interface ForwardRequest {
  readonly requestId: string;
  /** Equal for identical requests, on every host. */
  readonly fingerprint: string;
  /** Keys of the parts of its prompt that other requests may share; the same on every host. */
  readonly partKeys: readonly string[];
  readonly method: string;
  /** Host name as the caller sent it. */
  readonly host: string;
  readonly path: string;
  /** Headers to forward, as alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
  readonly facts: RequestFacts;
  readonly route: Route;
  /** Where the stream began that the request takes up; undefined for others. */
  readonly origin: StreamOrigin | undefined;
  readonly organisation: RouteOrganisation | undefined;
  readonly priority: number;
  /** Value of an answer on time, relative to other requests. */
  readonly value: number;
  readonly arrivedAtMs: number;
  /** Monotonic time at which the caller's deadline or the timeout of the route has passed. */
  readonly deadlineAtMs: number;
  /** Version of the route table that the request was matched with. */
  readonly version: number;
}
