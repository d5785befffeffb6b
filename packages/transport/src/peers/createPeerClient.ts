import { JSONRPCClient } from 'json-rpc-2.0';
import { toError } from '@bergamotcove/errors';
import { MAX_RPC_BYTES } from '@bergamotcove/protocol';
import type { HttpClient, Target } from '../createHttpClient.js';
import TransportError from '../TransportError.js';
import { AUTH_HEADER, type PeerAuth } from './createPeerAuth.js';

/** Options of one call. */
export interface PeerCallOptions {
  readonly timeoutMs: number;
}

/** Options of {@link createPeerClient}. */
export interface PeerClientOptions {
  /** Signs calls and verifies the signatures of their answers; without it, calls are unsigned. */
  readonly auth?: PeerAuth;
  /** Called with the sizes of each call and its answer, for metrics. */
  readonly onBytes?: (sentBytes: number, receivedBytes: number) => void;
}

/** Calls methods of other entry hosts. */
export interface PeerClient {
  /**
   * Calls a method.
   *
   * @throws TransportError; `not-connected` guarantees that the peer did not receive the call
   */
  call(target: Target, method: string, params: object, options: PeerCallOptions): Promise<unknown>;
}

const STATUS_UNAUTHORIZED = 401;

const sendCall = async (
  http: HttpClient,
  target: Target,
  body: string,
  options: PeerClientOptions & PeerCallOptions,
): Promise<string> => {
  if (Buffer.byteLength(body) > MAX_RPC_BYTES) {
    throw new TransportError('too-large', `a peer call exceeds ${MAX_RPC_BYTES} bytes`);
  }
  const signed = options.auth?.signCall(body, `${target.address}:${target.port}`);
  const response = await http.send(target, {
    method: 'POST',
    path: '/rpc',
    body,
    headers: signed === undefined ? {} : { [AUTH_HEADER]: signed.header },
    signal: AbortSignal.timeout(options.timeoutMs),
  });
  options.onBytes?.(body.length, response.body.length);
  if (response.status === STATUS_UNAUTHORIZED) {
    throw new TransportError('unauthenticated', 'the peer refused the signature of the call');
  }
  if (signed !== undefined) {
    options.auth?.checkAnswer(signed.call, response.headers[AUTH_HEADER]?.toString(), response.body);
  }
  return response.body;
};

/**
 * Creates a JSON-RPC client for calls between entry hosts.
 *
 * @param http - HTTP client
 * @param clientOptions - authentication and metrics
 * @returns the client
 * @example
 * await peers.call({ address: '10.0.0.2', port: 7000 }, 'claims.query', { keyHash }, { timeoutMs: 500 });
 */
export default function createPeerClient(http: HttpClient, clientOptions: PeerClientOptions = {}): PeerClient {
  return {
    call: async (target, method, params, options) => {
      // The JSON-RPC library replaces errors of its send function, but the caller needs the code of the original error.
      let failure: unknown;
      const client = new JSONRPCClient(async (request) => {
        try {
          const answer = await sendCall(http, target, JSON.stringify(request), { ...clientOptions, ...options });
          client.receive(JSON.parse(answer));
          // An answer that names another call, or none, would leave this one open for ever.
          client.rejectAllPendingRequests('the answer is not to this call');
        } catch (cause) {
          failure = cause;
          throw cause;
        }
      });
      try {
        return await client.request(method, params);
      } catch (cause) {
        throw failure instanceof TransportError
          ? failure
          : new TransportError('invalid-message', `peer call ${method} failed`, { cause: toError(cause) });
      }
    },
  };
}
