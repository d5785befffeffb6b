import http from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Target } from '@bergamotcove/transport';

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
 * @param target - address and port to listen on
 * @param isReady - whether the host accepts requests
 * @returns the server, once it listens; rejects when the address cannot be bound
 */
export default function startHealthServer(target: Target, isReady: () => boolean): Promise<HealthServer> {
  const server = http.createServer((_, response) => {
    response.writeHead(isReady() ? STATUS_OK : STATUS_UNAVAILABLE, { 'Content-Length': 0 });
    response.end();
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(target.port, target.address, () => {
      resolve({
        port: (server.address() as AddressInfo).port,
        close: () => {
          server.close();
          server.closeAllConnections();
        },
      });
    });
  });
}
