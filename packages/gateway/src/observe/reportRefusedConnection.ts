import type { Logger } from '@bergamotcove/log';
import type { ScrapedMetrics } from '@bergamotcove/telemetry';
import type { ConnectionRefusal } from '@bergamotcove/transport';

/** Reports a connection of a caller that was refused, and what it carried, to the log and the metrics. */
export default function reportRefusedConnection(
  refusal: ConnectionRefusal,
  { logger, metrics }: { readonly logger: Logger; readonly metrics: ScrapedMetrics },
): void {
  const { reason, carried } = refusal;
  metrics.report('connections.refused', 1, { reason, carried });
  logger.event('connectionRefused', { ...refusal });
}
