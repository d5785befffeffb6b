import type { Route, RouteOrganisation } from '@bergamotcove/config';
import type { RequestFacts } from '../ports.js';

/** Status and headers of an answer, names and values in turn. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: readonly string[];
}

/** A request that was matched to its route and read whole. */
export interface ForwardRequest {
  readonly requestId: string;
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
