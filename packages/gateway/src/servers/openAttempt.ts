import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { AttemptFailure } from '@bergamotcove/decide';
import { isFlooding, TransportError, type HttpClient, type Target } from '@bergamotcove/transport';
import isConnectionRefused from './isConnectionRefused.js';
import dropsEndToEndField from '../requests/dropsEndToEndField.js';
import filterHeaders from '../requests/filterHeaders.js';
import type { AnswerHead } from '../requests/types.js';
import type { AnswerFacts, RequestFormat, ServerNotice } from '../ports.js';

/** One attempt at a backend server. */
export interface AttemptCall {
  readonly target: Target;
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
  readonly signal: AbortSignal;
  /** Whether the attempt needs a connection of its own. */
  readonly freshConnection: boolean;
  /** Called when the request is written to the connection. */
  readonly onSending: () => void;
  /** Called just before sending; false cancels the attempt. */
  readonly maySend: (socket: Socket) => boolean;
}

/** Head of an answer, or the failure. */
export type OpenedAttempt =
  | {
      readonly type: 'head';
      readonly head: AnswerHead;
      readonly facts: AnswerFacts;
      readonly response: IncomingMessage;
    }
  | {
      readonly type: 'failed';
      readonly failure: AttemptFailure;
      /** Whether the server refused the connection (ECONNREFUSED). */
      readonly refused: boolean;
      /** Whether the server sent bytes that lead to no answer, until the attempt was abandoned. */
      readonly isFlooding?: boolean;
      /** Notice about the server itself, from an answer that does not belong to the attempt. */
      readonly notice?: ServerNotice;
    };

/** Connecting within a region takes a few milliseconds; a lost packet delays it by a second. */
const CONNECT_TIMEOUT_MS = 300;
const MIN_SUCCESS_STATUS = 200;
const MIN_REDIRECT_STATUS = 300;

const NONE_WITHHELD: ReadonlySet<string> = new Set();

const toFailure = (cause: unknown): AttemptFailure =>
  cause instanceof TransportError && cause.code === 'not-connected'
    ? { type: 'not-sent' }
    : { type: 'connection-lost' };

/**
 * Whether the response is this server's answer to this attempt. On a kept-alive connection, a late or duplicate answer
 * to an earlier attempt can arrive instead.
 */
const isOwnAnswer = (
  call: AttemptCall,
  response: IncomingMessage,
  facts: AnswerFacts,
  answerFields: ReadonlySet<string>,
): boolean => {
  const status = response.statusCode ?? 0;
  const success = status >= MIN_SUCCESS_STATUS && status < MIN_REDIRECT_STATUS;
  return (
    facts.requestId === call.requestId &&
    (facts.signed || !success) &&
    response.headers['content-encoding'] === undefined &&
    !dropsEndToEndField(response.rawHeaders, answerFields)
  );
};

/**
 * Sends an attempt and waits for the head of its answer.
 *
 * @param http - HTTP client of the pool
 * @param format - reader of the answer's headers
 * @param call - attempt to send
 * @returns the head and the response, whose body is not read yet, or the failure; rejects only if an exception is thrown
 *   while the head is read
 */
export default async function openAttempt(
  http: HttpClient,
  format: RequestFormat,
  call: AttemptCall,
): Promise<OpenedAttempt> {
  let sent = false;
  let response: IncomingMessage;
  try {
    response = await http.open(call.target, {
      method: call.method,
      path: call.path,
      headers: call.headers,
      ...(call.body === undefined ? {} : { body: call.body }),
      signal: call.signal,
      connectLimitMs: CONNECT_TIMEOUT_MS,
      freshConnection: call.freshConnection,
      maySend: call.maySend,
      onSending: () => {
        sent = true;
        call.onSending();
      },
    });
  } catch (cause) {
    return {
      type: 'failed',
      failure: sent ? toFailure(cause) : { type: 'not-sent' },
      refused: isConnectionRefused(cause),
      isFlooding: isFlooding(cause),
    };
  }
  const facts = format.readAnswer(response.statusCode ?? 0, response.headers);
  if (!isOwnAnswer(call, response, facts, format.answerFields)) {
    response.destroy();
    const failure = { type: 'invalid-answer' } as const;
    const failed = { type: 'failed', failure, refused: false } as const;
    return facts.otherServer ? failed : { ...failed, notice: facts };
  }
  const head = { status: response.statusCode ?? 0, headers: filterHeaders(response.rawHeaders, NONE_WITHHELD) };
  return { type: 'head', head, facts, response };
}
