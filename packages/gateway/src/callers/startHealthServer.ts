import http from 'node:http';
import { listenOnPort, type ListenOptions } from '@bergamotcove/transport';

/** HTTP server that tells the load balancer whether this host accepts requests. */
export interface HealthServer {
  readonly port: number;
  close(): void;
}

const STATUS_OK = 200;
const STATUS_UNAVAILABLE = 503;

/**
 * Starts the server that answers every request with status 200 or 503.
 *
 * @param options - address and port to listen on
 * @param isReady - whether the host accepts requests
 * @returns the server, once it listens; rejects when the address cannot be bound
 */
export default async function startHealthServer(options: ListenOptions, isReady: () => boolean): Promise<HealthServer> {
  const server = http.createServer((_, response) => {
    response.writeHead(isReady() ? STATUS_OK : STATUS_UNAVAILABLE, { 'Content-Length': 0 });
    response.end();
  });
  return {
    port: await listenOnPort(server, options),
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
