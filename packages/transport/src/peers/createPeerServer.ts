import { JSONRPCServer } from 'json-rpc-2.0';
import readBody from '../readBody.js';
import type { HttpExchange } from '../createHttpServer.js';

/** Handles the parameters of one method and returns its result. */
export type PeerMethod = (params: unknown) => Promise<unknown> | unknown;

/** Answers calls of other entry hosts and of operators. */
export interface PeerServer {
  /** Adds a method; each package registers the methods that it owns. */
  register(method: string, handle: PeerMethod): void;
  /** Answers one HTTP request. */
  handle(exchange: HttpExchange): Promise<void>;
}

const STATUS_OK = 200;

/**
 * Creates the JSON-RPC server of an entry host.
 *
 * @returns the server; it answers on the peers port
 */
export default function createPeerServer(): PeerServer {
  const server = new JSONRPCServer();
  return {
    register: (method, handle) => server.addMethod(method, handle),
    handle: async ({ request, response }) => {
      const answer = await server.receiveJSON(await readBody(request));
      response.writeHead(STATUS_OK, { 'content-type': 'application/json' });
      response.end(JSON.stringify(answer));
    },
  };
}
