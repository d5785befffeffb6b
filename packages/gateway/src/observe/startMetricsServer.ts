import http from 'node:http';
import type { AddressInfo } from 'node:net';
import type { ScrapedMetrics } from '@bergamotcove/telemetry';

/** HTTP server for the metrics of this host. */
export interface MetricsServer {
  readonly port: number;
  close(): void;
}

/** Options of {@link startMetricsServer}. */
export interface MetricsServerOptions {
  readonly address: string;
  readonly port: number;
  readonly path: string;
  readonly metrics: ScrapedMetrics;
  /** Updates the gauges before each read. */
  readonly sample: () => void;
}

/**
 * Starts the HTTP server from which monitoring systems read the metrics.
 *
 * @param options - address, port, path and metrics
 * @returns the server, once it listens; rejects when the port cannot be used
 */
export default function startMetricsServer(options: MetricsServerOptions): Promise<MetricsServer> {
  const { address, port, path, metrics, sample } = options;
  const server = http.createServer((request, response) => {
    if (request.url !== path) {
      response.writeHead(404, { 'Content-Length': 0 });
      response.end();
      return;
    }
    sample();
    metrics.render().then(
      (text) => {
        response.writeHead(200, { 'Content-Type': metrics.contentType });
        response.end(text);
      },
      () => response.destroy(),
    );
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, address, () => {
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
