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
  /** Time left for the attempt. */
  readonly timeoutMs: number;
  /** Key that the server may check for duplicates; only for `call` stages with effect `once`. */
  readonly idempotencyKey?: string;
  readonly traceparent: string;
  /** First token wanted from a generation. */
  readonly resumeTokenIndex: number;
  readonly priority: string;
  /** Asked just before the first byte is written; false gives the attempt up as `not-sent`. */
  readonly maySend?: () => boolean;
}

/** Why a backend server gave no answer. */
export type ServerFailure =
  | { readonly type: 'not-sent' }
  | { readonly type: 'refused'; readonly leaving: boolean }
  | { readonly type: 'connection-lost'; readonly answered?: boolean }
  | { readonly type: 'invalid-answer' }
  | { readonly type: 'failed'; readonly message: string; readonly executed?: boolean };

/** What a backend server sent back, in order. `sending` comes just before the first byte leaves. */
export type ServerEvent =
  | { readonly type: 'sending' }
  | { readonly type: 'tokens'; readonly firstTokenIndex: number; readonly tokens: readonly string[] }
  | { readonly type: 'answer'; readonly output: unknown }
  | { readonly type: 'failure'; readonly failure: ServerFailure };
