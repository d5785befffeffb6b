import type { IncomingMessage } from 'node:http';
import { JSONRPCServer } from 'json-rpc-2.0';
import { MAX_RPC_BYTES } from '@bergamotcove/protocol';
import { sendJson, type HttpExchange } from '../createHttpServer.js';
import readBody from '../readBody.js';
import TransportError from '../TransportError.js';
import { AUTH_HEADER, type PeerAuth, type SignedCall } from './createPeerAuth.js';

/** Handles the parameters of one method and returns its result. */
export type PeerMethod = (params: unknown) => Promise<unknown> | unknown;

/** Options of {@link createPeerServer}. */
export interface PeerServerOptions {
  /** Verifies calls and signs their answers; without it, every call is accepted. */
  readonly auth?: PeerAuth;
  /** Called for each rejected call. */
  readonly onRefused?: (reason: string, remoteAddress: string) => void;
}

/** Serves calls of other entry hosts and of operators. */
export interface PeerServer {
  /** Adds a method; each package registers its own methods. */
  register(method: string, handle: PeerMethod): void;
  /** Answers one HTTP request. */
  handle(exchange: HttpExchange): Promise<void>;
}

const STATUS_OK = 200;
const STATUS_UNAUTHORIZED = 401;
const STATUS_TOO_LARGE = 413;
const OPERATOR_PREFIX = 'operator.';
const LOOPBACK_ADDRESSES: readonly string[] = ['127.0.0.1', '::1'];

/** Removes the prefix of IPv4-mapped addresses that dual-stack sockets report. */
const stripMappedPrefix = (address: string | undefined): string => (address ?? '').replace(/^::ffff:/, '');

const readMethod = (body: string): string => {
  try {
    const method: unknown = (JSON.parse(body) as { readonly method?: unknown } | null)?.method;
    return typeof method === 'string' ? method : '';
  } catch {
    return '';
  }
};

/** Accepts an unsigned call only from an operator on the host itself, who needs no key. */
const checkUnsigned = (request: IncomingMessage, body: string): void => {
  const local = LOOPBACK_ADDRESSES.includes(stripMappedPrefix(request.socket.remoteAddress));
  if (!local || !readMethod(body).startsWith(OPERATOR_PREFIX)) {
    throw new TransportError('unauthenticated', 'the call is not signed');
  }
};

const checkRequest = (auth: PeerAuth | undefined, request: IncomingMessage, body: string): SignedCall | undefined => {
  if (auth === undefined) {
    return undefined;
  }
  const header = request.headers[AUTH_HEADER];
  if (typeof header !== 'string') {
    checkUnsigned(request, body);
    return undefined;
  }
  const { localAddress, localPort } = request.socket;
  return auth.checkCall(header, body, `${stripMappedPrefix(localAddress)}:${localPort}`);
};

const toHttpStatus = (error: TransportError): number =>
  error.code === 'too-large' ? STATUS_TOO_LARGE : STATUS_UNAUTHORIZED;

/**
 * Creates the JSON-RPC server of an entry host. With authentication, calls must be signed; the only exception are calls
 * of `operator.*` methods over loopback.
 *
 * @param options - authentication
 * @returns the server; its `handle` serves the requests of the peers port
 * @example
 * const server = createPeerServer({ auth });
 * server.register('claims.query', (params) => query(params));
 */
export default function createPeerServer(options: PeerServerOptions = {}): PeerServer {
  const server = new JSONRPCServer();
  return {
    register: (method, handle) => server.addMethod(method, handle),
    handle: async ({ request, response }) => {
      let body: string;
      let call: SignedCall | undefined;
      try {
        body = await readBody(request, { maxBytes: MAX_RPC_BYTES });
        call = checkRequest(options.auth, request, body);
      } catch (cause) {
        if (!(cause instanceof TransportError) || cause.code === 'connection-lost') {
          throw cause;
        }
        options.onRefused?.(cause.message, request.socket.remoteAddress ?? '');
        sendJson(response, toHttpStatus(cause), { error: cause.message });
        return;
      }
      const answer = JSON.stringify(await server.receiveJSON(body));
      const signature = call === undefined ? {} : { [AUTH_HEADER]: options.auth?.signAnswer(call, answer) ?? '' };
      response.writeHead(STATUS_OK, { 'content-type': 'application/json', ...signature });
      response.end(answer);
    },
  };
}
