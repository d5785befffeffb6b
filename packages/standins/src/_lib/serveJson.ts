import { createHttpServer, readBody, sendJson, type HttpExchange, type HttpServer } from '@bergamotcove/transport';
import type { ListenOptions } from '../types.js';

/**
 * Handles one route. The returned value is sent as JSON with status 200, or with the status of a {@link StatusReply};
 * undefined means that the handler has written the response itself or sends none.
 */
export type JsonRoute = (body: unknown, exchange: HttpExchange) => Promise<unknown> | unknown;

/** Status and body of a response whose status is not 200. */
export class StatusReply {
  constructor(
    readonly status: number,
    readonly body: unknown,
  ) {}
}

const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;

/** Starts an HTTP server with JSON routes, keyed by `METHOD /path`; other paths get status 404. */
export default function serveJson(
  routes: Readonly<Record<string, JsonRoute>>,
  listen: ListenOptions,
): Promise<HttpServer> {
  const handle = async (exchange: HttpExchange): Promise<void> => {
    const route = routes[`${exchange.request.method} ${exchange.path}`];
    if (route === undefined) {
      sendJson(exchange.response, STATUS_NOT_FOUND, { error: `no route ${exchange.path}` });
      return;
    }
    const text = await readBody(exchange.request);
    const reply = await route(text === '' ? {} : JSON.parse(text), exchange);
    if (reply instanceof StatusReply) {
      sendJson(exchange.response, reply.status, reply.body);
    } else if (reply !== undefined) {
      sendJson(exchange.response, STATUS_OK, reply);
    }
  };
  return createHttpServer(handle, { ...listen, onError: () => undefined });
}
