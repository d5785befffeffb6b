import type { ServerResponse } from 'node:http';
import { filter } from 'rxjs';
import { formatStreamEvent, readBody, sendJson, TransportError, type HttpExchange } from '@bergamotcove/transport';
import type { RequestResult } from '@bergamotcove/decide';
import type { RequestService } from '../requests/createRequestService.js';
import type { RequestRun, RunEvent } from '../requests/types.js';
import CallerError from './CallerError.js';
import formatProblem from './formatProblem.js';
import parseCallerRequest from './parseCallerRequest.js';
import type { Problem } from './types.js';

const STATUS_OK = 200;
const STATUS_TOO_LARGE = 413;
const MS_PER_SECOND = 1_000;
const PATH_PATTERN = /^\/v1\/services\/([a-z0-9-]+)\/requests$/;

const sendProblem = (response: ServerResponse, problem: Problem): void => {
  const retryHeaders: Record<string, string> =
    problem.retryAfterMs === undefined
      ? {}
      : { 'retry-after': String(Math.ceil(problem.retryAfterMs / MS_PER_SECOND)) };
  sendJson(response, problem.status, problem, { 'content-type': 'application/problem+json', ...retryHeaders });
};

const formatAnswer = (run: RequestRun, result: Extract<RequestResult, { type: 'answered' }>): object => ({
  requestId: run.plan.requestId,
  output: result.output,
});

const sendAnswer = async (response: ServerResponse, run: RequestRun, traceparent: string): Promise<void> => {
  const result = await run.result;
  if (result.type === 'refused') {
    sendProblem(response, formatProblem(result));
    return;
  }
  sendJson(response, STATUS_OK, formatAnswer(run, result), { traceparent });
};

const formatRunEvent = (run: RequestRun, event: RunEvent): string => {
  const id = String(event.eventId);
  if (event.type === 'token') {
    const data = JSON.stringify({ index: event.tokenIndex, text: event.text });
    return formatStreamEvent({ id, event: 'token', data });
  }
  const body = event.result.type === 'answered' ? formatAnswer(run, event.result) : formatProblem(event.result);
  return formatStreamEvent({
    id,
    event: event.result.type === 'answered' ? 'final' : 'problem',
    data: JSON.stringify(body),
  });
};

const sendStream = (response: ServerResponse, run: RequestRun, afterEventId: number): Promise<void> => {
  response.writeHead(STATUS_OK, { 'content-type': 'text/event-stream', 'cache-control': 'no-store' });
  return new Promise((resolve) => {
    const subscription = run.events.pipe(filter((event) => event.eventId > afterEventId)).subscribe({
      next: (event) => response.write(formatRunEvent(run, event)),
      complete: () => {
        response.end();
        resolve();
      },
    });
    response.on('close', () => {
      subscription.unsubscribe();
      resolve();
    });
  });
};

const readRequestBody = async (exchange: HttpExchange): Promise<string> => {
  try {
    return await readBody(exchange.request);
  } catch (cause) {
    if (cause instanceof TransportError && cause.code === 'too-large') {
      const problem: Problem = {
        type: 'about:blank',
        title: cause.message,
        status: STATUS_TOO_LARGE,
        outcome: 'not-run',
      };
      throw new CallerError('wrong-input', problem, cause);
    }
    throw cause;
  }
};

/** Returns the service name of a request path, or undefined for any other path. */
export const matchServicePath = (path: string): string | undefined => PATH_PATTERN.exec(path)?.[1];

/**
 * Answers one caller's request with a JSON document or an event stream. A `CallerError` becomes a problem document.
 *
 * @param exchange - HTTP request and response
 * @param serviceName - service name from the path
 * @param service - service that runs the request
 */
export default async function handleCallerRequest(
  exchange: HttpExchange,
  serviceName: string,
  service: RequestService,
): Promise<void> {
  try {
    const body = await readRequestBody(exchange);
    const request = parseCallerRequest(serviceName, body, exchange.request.headers);
    const run = await service.submit(request);
    if (request.stream) {
      await sendStream(exchange.response, run, request.lastEventId ?? 0);
    } else {
      await sendAnswer(exchange.response, run, request.traceparent ?? '');
    }
  } catch (cause) {
    if (!(cause instanceof CallerError)) {
      throw cause;
    }
    sendProblem(exchange.response, cause.problem);
  }
}
