import http from 'node:http';
import type { Clock } from '@bergamotcove/clock';
import {
  createConnectionGuard,
  listenOnPort,
  type ConnectionBounds,
  type ConnectionRefusal,
  type ListenOptions,
} from '@bergamotcove/transport';

/** HTTP server that tells the load balancer whether this host accepts requests. */
export interface HealthServer {
  readonly port: number;
  close(): void;
}

/** Options of {@link startHealthServer}. */
export interface HealthServerOptions extends ListenOptions {
  readonly clock: Clock;
  readonly bounds?: Partial<ConnectionBounds>;
  readonly onRefused?: (refusal: ConnectionRefusal) => void;
}

const STATUS_OK = 200;
const STATUS_UNAVAILABLE = 503;
const LIMITS = { headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 };

/**
 * Starts the server that answers every request with status 200 or 503.
 *
 * @param options - address and port to listen on, clock and bounds
 * @param isReady - whether the host accepts requests
 * @returns the server, once it listens; rejects when the address cannot be bound
 */
export default async function startHealthServer(
  options: HealthServerOptions,
  isReady: () => boolean,
): Promise<HealthServer> {
  const server = http.createServer({ requestTimeout: 0 });
  createConnectionGuard(server, {
    ...options,
    limits: LIMITS,
    onRequest: (request, response) => {
      request.resume();
      response.writeHead(isReady() ? STATUS_OK : STATUS_UNAVAILABLE, { 'Content-Length': 0 });
      response.end();
    },
  });
  return {
    port: await listenOnPort(server, options),
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
