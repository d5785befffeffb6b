import { once } from 'node:events';
import type { AddressInfo, Server } from 'node:net';
import retryStart from './retryStart.js';

/** Receives what happens to a listening port. */
export interface PortWatch {
  /** Called once when the port or the address cannot be used yet; the error names them. */
  readonly onWait: (error: Error) => void;
  /** Called for each error of a server that listens, such as a connection that it cannot accept, or that got no port. */
  readonly onError: (error: Error, port: number) => void;
}

/** Options of {@link listenOnPort}. */
export interface ListenOptions extends PortWatch {
  readonly address: string;
  readonly port: number;
  /** Last port of the range that begins with `port`; its first free port is used. */
  readonly lastPort?: number;
  /** Time for which a port or an address that cannot be used yet is tried again. */
  readonly limitMs?: number;
}

/** A closed outgoing connection holds its port for a minute. */
const PORT_LIMIT_MS = 90_000;
const TEMPORARY_CODES = new Set<unknown>(['EADDRINUSE', 'EADDRNOTAVAIL']);

/**
 * Listens on a port. A port that another process holds, and an address that the machine does not have yet, are tried
 * again for a bounded time. Errors after that do not end the process.
 *
 * @param server - the server, which does not listen yet
 * @param options - address, ports and callbacks
 * @returns the port, once the server listens
 * @throws the error of the last try
 */
export default function listenOnPort(server: Server, options: ListenOptions): Promise<number> {
  const { address, port: firstPort, lastPort = firstPort, limitMs = PORT_LIMIT_MS, onError } = options;
  const listen = async (port: number): Promise<number> => {
    try {
      server.listen({ port, host: address, backlog: 511 });
      await once(server, 'listening');
    } catch (cause) {
      if (port < lastPort) {
        return listen(port + 1);
      }
      throw cause;
    }
    const used = (server.address() as AddressInfo).port;
    server.on('error', (error) => onError(error, used));
    return used;
  };
  return retryStart(() => listen(firstPort), {
    ...options,
    limitMs,
    isTemporary: (error) => TEMPORARY_CODES.has((error as NodeJS.ErrnoException).code),
  });
}
