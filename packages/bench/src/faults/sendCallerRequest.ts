import http, { type IncomingMessage } from 'node:http';
import { readBody, readEventStream } from '@bergamotcove/transport';
import type { Outcome } from '@bergamotcove/decide';
import { ADDRESS, DEADLINE_MARGIN_MS, DEADLINE_MS, SERVICE } from './constants.js';
import type { OperationName } from './types.js';

/** One token as the caller received it. */
export interface CallerToken {
  readonly index: number;
  readonly text: string;
}

/** How a request ended for its caller. */
export type CallerEnd =
  | { readonly type: 'answered'; readonly output: unknown }
  | { readonly type: 'refused'; readonly outcome: Outcome; readonly title: string }
  /** The connection broke before the answer was whole. */
  | { readonly type: 'broken' }
  /** No whole answer came by the deadline and its margin. */
  | { readonly type: 'overdue' }
  /** The answer does not have the shape of the caller API. */
  | { readonly type: 'malformed'; readonly body: string };

/** Everything that a caller received for one request. */
export interface CallerReply {
  readonly end: CallerEnd;
  readonly tokens: readonly CallerToken[];
  readonly elapsedMs: number;
}

/** One request of a caller. */
export interface CallerCall {
  readonly port: number;
  readonly operation: OperationName;
  /** Marker that the answer must carry. */
  readonly marker: string;
  readonly idempotencyKey: string;
  /** Called when the host accepted the connection, before the first byte of the request. */
  readonly onAccepted?: () => Promise<void>;
  /** Called when the whole request was written. */
  readonly onSent?: () => Promise<void>;
}

interface Progress {
  tokens: readonly CallerToken[];
}

const STATUS_OK = 200;

const readProblem = (body: string): CallerEnd => {
  const problem = JSON.parse(body) as { readonly outcome?: Outcome; readonly title?: string };
  return problem.outcome === undefined
    ? { type: 'malformed', body }
    : { type: 'refused', outcome: problem.outcome, title: problem.title ?? '' };
};

const readAnswer = (body: string): CallerEnd => {
  const answer = JSON.parse(body) as { readonly output?: unknown };
  return answer.output === undefined ? { type: 'malformed', body } : { type: 'answered', output: answer.output };
};

const readStream = async (response: IncomingMessage, progress: Progress): Promise<CallerEnd> => {
  const state = progress;
  let end: CallerEnd | undefined;
  const reading = readEventStream(response, (event) => {
    if (event.event === 'token') {
      state.tokens = [...state.tokens, JSON.parse(event.data) as CallerToken];
    } else {
      end ??= event.event === 'final' ? readAnswer(event.data) : readProblem(event.data);
    }
  });
  await reading.catch((cause: unknown) => {
    if (end === undefined) {
      throw cause;
    }
  });
  return end ?? { type: 'broken' };
};

const readReply = async (response: IncomingMessage, progress: Progress): Promise<CallerEnd> => {
  if (response.headers['content-type'] === 'text/event-stream') {
    return readStream(response, progress);
  }
  const body = await readBody(response);
  return response.statusCode === STATUS_OK ? readAnswer(body) : readProblem(body);
};

const openRequest = (call: CallerCall, signal: AbortSignal): http.ClientRequest =>
  http.request({
    host: ADDRESS,
    port: call.port,
    agent: false,
    method: 'POST',
    path: `/v1/services/${SERVICE}/requests`,
    signal,
    headers: {
      'content-type': 'application/json',
      'idempotency-key': call.idempotencyKey,
    },
  });

const sendAndRead = (call: CallerCall, signal: AbortSignal, progress: Progress): Promise<CallerEnd> =>
  new Promise((resolve) => {
    const request = openRequest(call, signal);
    const stop = (): void => resolve({ type: signal.aborted ? 'overdue' : 'broken' });
    const body = JSON.stringify({
      organisation: 'matrix',
      operation: call.operation,
      input: { echo: call.marker },
      stream: call.operation === 'explain',
    });
    const send = async (): Promise<void> => {
      await call.onAccepted?.();
      await new Promise<void>((written) => {
        request.end(body, () => written());
      });
      await call.onSent?.();
    };
    request.on('error', stop);
    request.on('socket', (socket) => {
      socket.once('connect', () => {
        send().catch(stop);
      });
    });
    request.on('response', (response) => {
      readReply(response, progress).then(resolve, stop);
    });
  });

/**
 * Sends one request as a caller does and reads the whole answer or stream.
 *
 * @param call - the request
 * @returns how the request ended, its tokens and the elapsed time
 */
export default async function sendCallerRequest(call: CallerCall): Promise<CallerReply> {
  const abort = new AbortController();
  const startedAtMs = performance.now();
  const timer = setTimeout(() => abort.abort(), DEADLINE_MS + DEADLINE_MARGIN_MS);
  const progress: Progress = { tokens: [] };
  const end = await sendAndRead(call, abort.signal, progress);
  clearTimeout(timer);
  abort.abort();
  return { end, ...progress, elapsedMs: performance.now() - startedAtMs };
}
