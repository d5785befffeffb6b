import type { ScrapedMetrics } from '@bergamotcove/telemetry';
import type { ForwardEnd } from './RunRecord.js';

/**
 * Reports the outcome and the times of a request of a route.
 *
 * @param metrics - metrics of the host
 * @param route - name of the route
 * @param end - how the request ended
 */
export default function reportEnd(
  metrics: ScrapedMetrics,
  route: string,
  { outcome, totalMs, firstByteMs }: ForwardEnd,
): void {
  metrics.report('route.requests', 1, { route, result: outcome });
  metrics.report('route.duration', totalMs, { route, result: outcome });
  if (firstByteMs !== undefined) {
    metrics.report('route.first_byte', firstByteMs, { route });
  }
}
