import type { Observable } from 'rxjs';
import type { RequestPlan, RequestResult } from '@bergamotcove/decide';

/** What a caller sees of a request, numbered from 1. */
export type RunEvent =
  | { readonly type: 'token'; readonly eventId: number; readonly tokenIndex: number; readonly text: string }
  | { readonly type: 'final'; readonly eventId: number; readonly result: RequestResult };

/** A request in flight or just finished. */
export interface RequestRun {
  readonly plan: RequestPlan;
  /** Every event from the first; ends after `final`. */
  readonly events: Observable<RunEvent>;
  readonly result: Promise<RequestResult>;
}

/** Facts of the request that its attempts carry. */
export interface DispatchContext {
  readonly plan: RequestPlan;
  readonly requestTraceparent: string;
  /** The caller's input; every stage gets it together with the outputs of the stages before. */
  readonly callerInput: unknown;
  readonly idempotencyKey?: string;
}
