import { JSONRPCClient } from 'json-rpc-2.0';
import { toError } from '@bergamotcove/errors';
import type { HttpClient, Target } from '../createHttpClient.js';
import TransportError from '../TransportError.js';

/** Options of one call. */
export interface PeerCallOptions {
  readonly timeoutMs: number;
}

/** Calls methods of other entry hosts. */
export interface PeerClient {
  /**
   * Calls a method.
   *
   * @throws TransportError; `not-connected` guarantees that the peer did not get the call
   */
  call(target: Target, method: string, params: object, options: PeerCallOptions): Promise<unknown>;
}

/**
 * Creates a JSON-RPC client for calls between entry hosts.
 *
 * @param http - HTTP client
 * @returns the client
 * @example
 * await peers.call({ address: '10.0.0.2', port: 7000 }, 'claims.query', { keyHash }, { timeoutMs: 500 });
 */
export default function createPeerClient(http: HttpClient): PeerClient {
  return {
    call: async (target, method, params, options) => {
      const client = new JSONRPCClient(async (request) => {
        const response = await http.send(target, {
          method: 'POST',
          path: '/rpc',
          body: JSON.stringify(request),
          signal: AbortSignal.timeout(options.timeoutMs),
        });
        client.receive(JSON.parse(response.body));
      });
      try {
        return await client.request(method, params);
      } catch (cause) {
        throw cause instanceof TransportError
          ? cause
          : new TransportError('invalid-message', `peer call ${method} failed`, { cause: toError(cause) });
      }
    },
  };
}
