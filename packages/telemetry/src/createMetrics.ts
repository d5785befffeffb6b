import { StatsD } from 'hot-shots';
import { exhaustive } from '@bergamotcove/errors';
import { METRICS, type MetricName } from './metrics.js';

/** Options of {@link createMetrics}. */
export interface MetricsOptions {
  /** IP address of the StatsD receiver; nothing is sent when absent. */
  readonly address?: string;
  readonly port?: number;
  readonly hostId: string;
}

/** Reports catalogued metrics. */
export interface Metrics {
  report(name: MetricName, value: number, tags?: Readonly<Record<string, string>>): void;
  close(): Promise<void>;
}

/**
 * Creates a metric reporter that sends over StatsD.
 *
 * @param options - receiver and host id
 * @returns the reporter; without an address it sends nothing
 * @example
 * metrics.report('request.count', 1, { service: 'clerk', result: 'answered' });
 */
export default function createMetrics(options: MetricsOptions): Metrics {
  const client = new StatsD({
    host: options.address ?? '127.0.0.1',
    port: options.port ?? 8125,
    prefix: 'bergamot.',
    globalTags: { host_id: options.hostId },
    mock: options.address === undefined,
    maxBufferSize: options.address === undefined ? 0 : 1_200,
    errorHandler: () => undefined,
  });
  return {
    report: (name, value, tags = {}) => {
      const { type } = METRICS[name];
      switch (type) {
        case 'counter':
          client.increment(name, value, { ...tags });
          break;
        case 'gauge':
          client.gauge(name, value, { ...tags });
          break;
        case 'timing':
          client.timing(name, value, { ...tags });
          break;
        default:
          exhaustive(type);
      }
      if (options.address === undefined) {
        client.mockBuffer = [];
      }
    },
    close: () =>
      new Promise((resolve) => {
        client.close(() => resolve());
      }),
  };
}
