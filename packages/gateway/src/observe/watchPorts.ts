import type { Logger } from '@bergamotcove/log';
import type { ScrapedMetrics } from '@bergamotcove/telemetry';
import type { PortWatch } from '@bergamotcove/transport';

/**
 * Creates the callbacks that log and count what happens to the ports of a host.
 *
 * @param logger - logger of the host
 * @param metrics - receives the count of errors
 * @returns callbacks for each server of the host
 */
export default function watchPorts(logger: Logger, metrics: ScrapedMetrics): PortWatch {
  return {
    onWait: (error) => logger.event('portAwaited', { error: error.message }),
    onError: (error, port) => {
      metrics.report('host.port_errors', 1);
      logger.event('portFailed', { port, error: error.message });
    },
  };
}
