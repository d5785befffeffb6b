import type { Observable } from 'rxjs';
import type { RequestPlan, RequestResult } from '@bergamotcove/decide';

/** Event of a request that is sent to its caller; `eventId` counts from 1. */
export type RunEvent =
  | { readonly type: 'token'; readonly eventId: number; readonly tokenIndex: number; readonly text: string }
  | { readonly type: 'final'; readonly eventId: number; readonly result: RequestResult };

/** A request in flight or recently finished. */
export interface RequestRun {
  readonly plan: RequestPlan;
  /** All events from the first, replayed to each subscriber; completes after `final`. */
  readonly events: Observable<RunEvent>;
  readonly result: Promise<RequestResult>;
}

/** Data of a request that each of its attempts needs. */
export interface DispatchContext {
  readonly plan: RequestPlan;
  readonly requestTraceparent: string;
  /** The caller's input; every stage gets it together with the outputs of the earlier stages. */
  readonly callerInput: unknown;
  readonly idempotencyKey?: string;
}
