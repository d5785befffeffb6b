import { createHttpServer, readBody, sendJson, type HttpExchange, type HttpServer } from '@bergamotcove/transport';
import type { ListenOptions } from '../types.js';

/** Handles one path; a returned value is sent as JSON, undefined means that the handler answered itself. */
export type JsonRoute = (body: unknown, exchange: HttpExchange) => Promise<unknown> | unknown;

/** Status and body of an answer that is not 200. */
export class StatusReply {
  constructor(
    readonly status: number,
    readonly body: unknown,
  ) {}
}

const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;

/** Starts an HTTP server that answers `METHOD /path` routes with JSON. */
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
