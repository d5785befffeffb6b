import type { Target } from '@bergamotcove/transport';

/** One attempt as it is sent to a backend server. */
export interface ServerCall {
  readonly target: Target;
  readonly kind: 'encode' | 'retrieve' | 'rerank' | 'generate' | 'call';
  readonly attemptId: string;
  readonly requestId: string;
  readonly organisation: string;
  readonly operation: string;
  readonly input: unknown;
  readonly model?: string;
  /** Remaining time of the attempt. */
  readonly timeoutMs: number;
  /** Key by which the server may detect duplicates; only for `call` stages with effect `once`. */
  readonly idempotencyKey?: string;
  readonly traceparent: string;
  /** Index of the first token that a generation has to send. */
  readonly resumeTokenIndex: number;
  readonly priority: string;
  /** Called just before the first byte is written; false cancels the attempt as `not-sent`. */
  readonly maySend?: () => boolean;
}

/** Why a backend server gave no answer. */
export type ServerFailure =
  | { readonly type: 'not-sent' }
  | { readonly type: 'refused'; readonly leaving: boolean }
  | { readonly type: 'connection-lost'; readonly answered?: boolean }
  | { readonly type: 'invalid-answer' }
  | { readonly type: 'failed'; readonly message: string; readonly executed?: boolean };

/** Events of an attempt, in order. `sending` is emitted just before the first byte of the request is written. */
export type ServerEvent =
  | { readonly type: 'sending' }
  | { readonly type: 'tokens'; readonly firstTokenIndex: number; readonly tokens: readonly string[] }
  | { readonly type: 'answer'; readonly output: unknown }
  | { readonly type: 'failure'; readonly failure: ServerFailure };
