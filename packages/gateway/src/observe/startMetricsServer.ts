import http from 'node:http';
import type { ScrapedMetrics } from '@bergamotcove/telemetry';
import { listenOnPort, type ListenOptions } from '@bergamotcove/transport';

/** HTTP server for the metrics of this host. */
export interface MetricsServer {
  /** Zero while the server does not listen. */
  readonly port: number;
  close(): void;
}

/** Options of {@link startMetricsServer}. */
export interface MetricsServerOptions extends ListenOptions {
  readonly path: string;
  readonly metrics: ScrapedMetrics;
  /** Updates the gauges before each read. */
  readonly sample: () => void;
}

/**
 * Starts the HTTP server from which monitoring systems read the metrics. A host serves without it: when the port cannot
 * be used, the server goes on trying on its own, and the failure to get the port is an error of the server.
 *
 * @param options - address, port, path and metrics
 * @returns the server, once it listens or has failed to for the first time
 */
export default function startMetricsServer(options: MetricsServerOptions): Promise<MetricsServer> {
  const { onWait, onError, path, metrics, sample } = options;
  // A gauge that cannot be read fails this answer only.
  const render = async (): Promise<string> => {
    sample();
    return metrics.render();
  };
  const server = http.createServer((request, response) => {
    if (request.url !== path) {
      response.writeHead(404, { 'Content-Length': 0 });
      response.end();
      return;
    }
    render().then(
      (text) => {
        response.writeHead(200, { 'Content-Type': metrics.contentType });
        response.end(text);
      },
      () => response.destroy(),
    );
  });
  const started = {
    port: 0,
    close: () => {
      server.close().closeAllConnections();
      // A try that is still to come may succeed.
      server.on('listening', () => server.close());
    },
  };
  return new Promise((resolve) => {
    const done = (): void => resolve(started);
    listenOnPort(server, {
      ...options,
      onWait: (error) => {
        onWait(error);
        done();
      },
    })
      .then(
        (port) => {
          started.port = port;
        },
        (error: Error) => onError(error, options.port),
      )
      .finally(done);
  });
}
