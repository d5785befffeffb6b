import net, { type Socket } from 'node:net';
import type { JSONRPCRequest } from 'json-rpc-2.0';
import { JSONRPCServer } from 'json-rpc-2.0/dist/server.js';
import listenOnPort, { type PortWatch } from '../listenOnPort.js';
import createLineReader from './createLineReader.js';

/** Method of a link server; a rejection is sent as an error. `peer` is the same object for all calls of one link. */
export type LinkMethod = (params: unknown, peer: LinkPeer) => unknown;

/** The host at the other end of a link. */
export interface LinkPeer {
  readonly remoteAddress: string;
  /**
   * Registers a callback for the end of the link, after which the answers of its open calls cannot be delivered. Returns
   * a function that removes the callback.
   */
  onClose(run: () => void): () => void;
}

/** Options of {@link createLinkServer}. */
export interface LinkServerOptions {
  readonly address: string;
  /** Zero selects a free port. */
  readonly port: number;
  /** Last port of the range that begins with `port`; its first free port is used. */
  readonly lastPort?: number;
  readonly methods: Readonly<Record<string, LinkMethod>>;
  readonly onError: (error: Error) => void;
  /** By default, errors of the server go to `onError`. */
  readonly watch?: PortWatch;
}

/** Accepts links of other hosts. */
export interface LinkServer {
  readonly port: number;
  /** Stops listening and closes every link. */
  close(): void;
}

/** Method that a client calls to check that the link works. */
export const PING_METHOD = 'ping';

const serveLink = (socket: Socket, options: LinkServerOptions): void => {
  const closeListeners = new Set<() => void>();
  const peer: LinkPeer = {
    remoteAddress: socket.remoteAddress ?? '',
    onClose: (run) => {
      closeListeners.add(run);
      return () => closeListeners.delete(run);
    },
  };
  const rpc = new JSONRPCServer<LinkPeer>({ errorListener: () => undefined });
  rpc.addMethod(PING_METHOD, () => true);
  Object.entries(options.methods).forEach(([name, method]) => {
    rpc.addMethod(name, (params: unknown, from) => method(params, from));
  });
  const answer = async (line: string): Promise<void> => {
    const response = await rpc.receive(JSON.parse(line) as JSONRPCRequest, peer);
    if (response !== null && !socket.destroyed) {
      socket.write(`${JSON.stringify(response)}\n`);
    }
  };
  const read = createLineReader((line) => {
    answer(line).catch((cause: Error) => {
      options.onError(cause);
      socket.destroy();
    });
  });
  socket.on('data', (chunk) => {
    try {
      read(chunk);
    } catch (cause) {
      options.onError(cause as Error);
      socket.destroy();
    }
  });
  socket.on('error', () => socket.destroy());
  socket.on('close', () => closeListeners.forEach((run) => run()));
};

/**
 * Starts a link server: newline-delimited JSON-RPC 2.0 messages over persistent connections of other hosts.
 *
 * @param options - address and methods
 * @returns the server once it listens
 * @example
 * const server = await createLinkServer({ address: '127.0.0.1', port: 0, methods: { echo: (params) => params }, onError });
 */
export default async function createLinkServer(options: LinkServerOptions): Promise<LinkServer> {
  const sockets = new Set<Socket>();
  const server = net.createServer({ noDelay: true }, (socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    serveLink(socket, options);
  });
  const { onError, watch = { onWait: () => undefined, onError } } = options;
  return {
    port: await listenOnPort(server, { ...options, ...watch }),
    close: () => {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
}
