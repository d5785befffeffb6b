import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import net, { type AddressInfo } from 'node:net';
import { createSystemClock } from '@bergamotcove/clock';
import { toError } from '@bergamotcove/errors';
import type { ConnectionRefusal } from './connectionTypes.js';
import createConnectionGuard from './createConnectionGuard.js';
import TransportError from './TransportError.js';

/** One request and its response, with the parsed path and query. */
export interface HttpExchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly path: string;
  readonly query: URLSearchParams;
}

/** Handles one request; a rejection is answered with status 500. */
export type HttpHandler = (exchange: HttpExchange) => Promise<void>;

/** Options of {@link createHttpServer}. */
export interface HttpServerOptions {
  readonly address: string;
  /** Zero selects a free port. */
  readonly port: number;
  readonly onError: (error: Error) => void;
  readonly onRefused?: (refusal: ConnectionRefusal) => void;
}

/** A listening HTTP server. */
export interface HttpServer {
  readonly port: number;
  /** Stops listening, closes idle connections and waits for open responses. */
  close(): Promise<void>;
  /** Closes every connection immediately. */
  abort(): void;
}

const LIMITS = { headerTimeoutMs: 60_000, idleTimeoutMs: 5_000 };

/** Sends a response with a JSON body. */
export const sendJson = (
  response: ServerResponse,
  status: number,
  body: unknown,
  headers: Readonly<Record<string, string>> = {},
): void => {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    ...headers,
  });
  response.end(text);
};

/**
 * Starts an HTTP server.
 *
 * @param handler - called for each request
 * @param options - address, port and error callback
 * @returns the server once it listens
 * @example
 * const server = await createHttpServer(handle, { address: '127.0.0.1', port: 0, onError });
 */
export default function createHttpServer(handler: HttpHandler, options: HttpServerOptions): Promise<HttpServer> {
  const server = http.createServer();
  const onRequest = (request: IncomingMessage, response: ServerResponse): void => {
    const url = new URL(request.url ?? '/', 'http://host');
    handler({ request, response, path: url.pathname, query: url.searchParams }).catch((cause: unknown) => {
      options.onError(toError(cause));
      if (response.headersSent) {
        response.destroy();
      } else if (!request.complete && cause instanceof TransportError && cause.code === 'connection-lost') {
        sendJson(response, 400, { error: 'invalid body' });
      } else {
        sendJson(response, 500, { error: 'internal error' });
      }
    });
  };
  const guard = createConnectionGuard(server, { ...options, clock: createSystemClock(), limits: LIMITS, onRequest });
  const close = (): Promise<void> =>
    new Promise((resolve) => {
      guard.drain();
      // The close of an HTTP server also cuts answers that are not sent yet.
      setImmediate(() => net.Server.prototype.close.call(server, () => resolve()));
    });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port, options.address, () => {
      server.removeListener('error', reject);
      resolve({ port: (server.address() as AddressInfo).port, close, abort: () => server.closeAllConnections() });
    });
  });
}
