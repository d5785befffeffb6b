import type { ServerView } from '@bergamotcove/decide';
import type { ServerCall } from '@bergamotcove/backends';
import type { DispatchAction } from '../startRun.js';
import type { DispatchContext } from '../types.js';

/** Call parameters of one attempt, in addition to those of its request. */
export interface CallOptions {
  readonly timeoutMs: number;
  readonly traceparent: string;
  /** Called just before the first byte is sent; the call is not sent if it returns false. */
  readonly maySend: () => boolean;
}

/** Builds the call of one attempt; only a `once` stage carries the idempotency key. */
export default function toServerCall(
  action: DispatchAction,
  context: DispatchContext,
  server: ServerView,
  options: CallOptions,
): ServerCall {
  const { stage, attemptId, resumeTokenIndex } = action;
  const { plan, callerInput, idempotencyKey } = context;
  return {
    target: { address: server.address, port: server.port },
    kind: stage.kind,
    attemptId,
    requestId: plan.requestId,
    organisation: plan.organisation,
    operation: plan.operation.name,
    input: { request: callerInput, outputs: action.input },
    ...(stage.model === undefined ? {} : { model: stage.model }),
    ...(stage.effect === 'once' && idempotencyKey !== undefined ? { idempotencyKey } : {}),
    resumeTokenIndex,
    priority: plan.operation.priority,
    ...options,
  };
}
