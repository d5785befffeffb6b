import type { Readable } from 'node:stream';
import { Observable, type Subscriber } from 'rxjs';
import { z } from 'zod';
import { readBody, readEventStream, TransportError, type HttpClient } from '@bergamotcove/transport';
import isTooDeep from './isTooDeep.js';
import type { ServerCall, ServerEvent, ServerFailure } from './types.js';

const STATUS_OK = 200;

/**
 * Time limit for the `100 Continue` of a server. Without it, a call that must not be repeated is cancelled before its
 * body is sent. A round trip takes 24 ms.
 */
const CONTINUE_TIMEOUT_MS = 300;
/** Largest share of the remaining time that is spent waiting for `100 Continue`; the rest allows for another server. */
const CONTINUE_TIMEOUT_SHARE = 0.25;
const STATUS_UNAVAILABLE = 503;

const answerSchema = z.object({ attemptId: z.string(), output: z.unknown() });
const refusalSchema = z.object({ executed: z.literal(false), leaving: z.boolean().default(false) });
const failureSchema = z.object({ executed: z.boolean().optional() });
const chunkSchema = z.object({
  id: z.string(),
  choices: z.array(z.object({ text: z.string(), index: z.number(), finish_reason: z.string().nullable() })).min(1),
  token_index: z.number(),
});

/** The message of the server is invalid or belongs to another attempt. */
class InvalidAnswer extends Error {}

const parseJson = <Schema extends z.ZodType>(schema: Schema, text: string): z.output<Schema> => {
  try {
    return schema.parse(JSON.parse(text));
  } catch (cause) {
    throw new InvalidAnswer('answer does not match the protocol', { cause });
  }
};

const toFailure = (cause: unknown, sent: boolean): ServerFailure => {
  if (!sent) {
    return { type: 'not-sent' };
  }
  return cause instanceof InvalidAnswer ? { type: 'invalid-answer' } : { type: 'connection-lost' };
};

const tryParseJson = (body: string): unknown => {
  try {
    return JSON.parse(body);
  } catch {
    return undefined;
  }
};

/** The server is reachable, but its answer does not tell whether the call had an effect. */
const UNKNOWN_EFFECT: ServerFailure = { type: 'connection-lost', answered: true };

/** A 503 that states `executed: false` proves that nothing ran; any other error status does not. */
const readFailure = (status: number, body: string): ServerFailure => {
  if (status === STATUS_UNAVAILABLE) {
    const refusal = refusalSchema.safeParse(tryParseJson(body));
    return refusal.success ? { type: 'refused', leaving: refusal.data.leaving } : UNKNOWN_EFFECT;
  }
  if (status < 400 || status >= 500) {
    return UNKNOWN_EFFECT;
  }
  const failure = failureSchema.safeParse(tryParseJson(body));
  const executed = failure.success ? failure.data.executed : undefined;
  return { type: 'failed', message: `status ${status}`, ...(executed === undefined ? {} : { executed }) };
};

const formatBody = (call: ServerCall): string => {
  if (call.kind === 'generate') {
    return JSON.stringify({
      model: call.model,
      prompt: JSON.stringify(call.input),
      stream: true,
      user: call.organisation,
      priority: call.priority,
      resume_token_index: call.resumeTokenIndex,
    });
  }
  const { attemptId, requestId, organisation, operation, input } = call;
  return JSON.stringify({ attemptId, requestId, organisation, operation, input });
};

/** Receives the events of a call. */
type EventSink = Pick<Subscriber<ServerEvent>, 'next'>;

/**
 * Reads a generation to the end of its stream, so that the connection can be reused. The answer is passed on at the
 * final chunk, because a server may end the response much later.
 */
const readGeneration = async (call: ServerCall, body: Readable, subscriber: EventSink): Promise<void> => {
  let done = false;
  await readEventStream(body, ({ data }) => {
    if (done || data === '[DONE]') {
      return;
    }
    const chunk = parseJson(chunkSchema, data);
    const choice = chunk.choices[0];
    if (chunk.id !== call.attemptId || choice === undefined) {
      throw new InvalidAnswer('chunk belongs to another attempt');
    }
    if (choice.finish_reason === null) {
      subscriber.next({ type: 'tokens', firstTokenIndex: chunk.token_index, tokens: [choice.text] });
    } else {
      done = true;
      subscriber.next({ type: 'answer', output: { tokenCount: chunk.token_index } });
    }
  });
  if (!done) {
    throw new TransportError('connection-lost', 'stream ended without its final chunk');
  }
};

const runCall = async (
  client: HttpClient,
  call: ServerCall,
  signal: AbortSignal,
  { subscriber, markSent }: { readonly subscriber: EventSink; readonly markSent: () => void },
): Promise<void> => {
  const response = await client.open(call.target, {
    method: 'POST',
    path: call.kind === 'generate' ? '/v1/completions' : `/v1/stages/${call.kind}`,
    headers: {
      'content-type': 'application/json',
      'x-attempt-id': call.attemptId,
      'x-timeout-ms': String(Math.max(1, Math.floor(call.timeoutMs))),
      traceparent: call.traceparent,
      ...(call.idempotencyKey === undefined ? {} : { 'idempotency-key': call.idempotencyKey }),
    },
    body: formatBody(call),
    signal,
    ...(call.idempotencyKey === undefined
      ? {}
      : {
          freshConnection: true,
          expectContinueMs: Math.min(CONTINUE_TIMEOUT_MS, call.timeoutMs * CONTINUE_TIMEOUT_SHARE),
        }),
    ...(call.maySend === undefined ? {} : { maySend: call.maySend }),
    onSending: () => {
      markSent();
      subscriber.next({ type: 'sending' });
    },
  });
  if (response.statusCode !== STATUS_OK) {
    const failure = readFailure(response.statusCode ?? 0, await readBody(response));
    subscriber.next({ type: 'failure', failure });
    return;
  }
  if (call.kind === 'generate') {
    await readGeneration(call, response, subscriber);
    return;
  }
  const answer = parseJson(answerSchema, await readBody(response));
  if (answer.attemptId !== call.attemptId) {
    throw new InvalidAnswer('answer belongs to another attempt');
  }
  if (isTooDeep(answer.output)) {
    throw new InvalidAnswer('output is nested too deeply');
  }
  subscriber.next({ type: 'answer', output: answer.output });
};

/**
 * Sends one attempt to a backend server. Unsubscribing cancels it.
 *
 * @param client - HTTP client
 * @param call - the attempt
 * @returns what the server sent; exactly one `answer` or `failure` comes last
 * @example
 * callServer(client, call).subscribe((event) => handle(event));
 */
export default function callServer(client: HttpClient, call: ServerCall): Observable<ServerEvent> {
  return new Observable((subscriber) => {
    const abort = new AbortController();
    const timer = setTimeout(() => abort.abort(), call.timeoutMs);
    let finished = false;
    let sent = false;
    const markSent = (): void => {
      sent = true;
    };
    // The subscriber unsubscribes while it handles the answer; an abort at that point would be wasted work.
    const sink: EventSink = {
      next: (event) => {
        finished ||= event?.type === 'answer';
        subscriber.next(event);
      },
    };
    runCall(client, call, abort.signal, { subscriber: sink, markSent })
      .catch((cause: unknown) => subscriber.next({ type: 'failure', failure: toFailure(cause, sent) }))
      .finally(() => {
        finished = true;
        clearTimeout(timer);
        subscriber.complete();
      });
    return () => {
      // After the answer, the timer still limits how long the server may take to end its response.
      if (!finished) {
        clearTimeout(timer);
        abort.abort();
      }
    };
  });
}
