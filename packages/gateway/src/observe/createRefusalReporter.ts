import type { Clock } from '@bergamotcove/clock';
import type { Logger } from '@bergamotcove/log';
import type { ScrapedMetrics } from '@bergamotcove/telemetry';
import type { ConnectionRefusal } from '@bergamotcove/transport';

/** Parts to which refused connections are reported. */
export interface RefusalParts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: ScrapedMetrics;
}

/** Reasons that concern the bounds of all connections of a listener or of the answers of one. */
const LIMITS: ReadonlySet<string> = new Set(['connections', 'memory', 'unread-answers']);
const LINE_INTERVAL_MS = 1_000;

/**
 * Creates the report of the refused connections of a listener to the log and the metrics. Connections that are closed by
 * a limit are summed up in at most one line a second for each limit.
 *
 * @param listener - name of the listener
 * @param parts - clock, log and metrics
 * @returns reports a refused connection and what it carried
 */
export default function createRefusalReporter(
  listener: 'callers' | 'health',
  { clock, logger, metrics }: RefusalParts,
): (refusal: ConnectionRefusal) => void {
  const waiting = new Map<string, number>();
  const report = (limit: string): void => {
    const connections = waiting.get(limit) ?? 0;
    if (connections === 0) {
      waiting.delete(limit);
      return;
    }
    logger.event('connectionsLimited', { listener, limit, connections });
    waiting.set(limit, 0);
    clock.schedule(LINE_INTERVAL_MS, () => report(limit));
  };
  return (refusal) => {
    const { reason, carried } = refusal;
    if (!LIMITS.has(reason)) {
      metrics.report('connections.refused', 1, { reason, carried });
      logger.event('connectionRefused', { ...refusal });
      return;
    }
    metrics.report('connections.limited', 1, { listener, limit: reason });
    const count = waiting.get(reason);
    waiting.set(reason, (count ?? 0) + 1);
    if (count === undefined) {
      report(reason);
    }
  };
}
