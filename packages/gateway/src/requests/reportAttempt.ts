import type { AttemptEnd, RetryDecision, ServerView } from '@bergamotcove/decide';
import type { Logger } from '@bergamotcove/log';
import type { ScrapedMetrics } from '@bergamotcove/telemetry';

/** What is told of an attempt that has ended. */
export interface AttemptReport {
  readonly requestId: string;
  readonly fingerprint: string;
  readonly server: ServerView;
  readonly end: AttemptEnd['type'];
  readonly decision: RetryDecision;
  /** Whether the budget of repeated sends had room, where it was asked. */
  readonly allowed: boolean;
  readonly runs: number;
  readonly sends: number;
  readonly remainingMs: number;
}

/**
 * Counts an attempt, and logs one whose answer is not passed on.
 *
 * @param report - the attempt and what follows
 * @param sinks - where it is told
 */
export default function reportAttempt(
  report: AttemptReport,
  { logger, metrics }: { readonly logger: Logger; readonly metrics: ScrapedMetrics },
): void {
  const { server, allowed, remainingMs, ...facts } = report;
  metrics.report('pool.attempts', 1, { pool: server.pool, result: report.end });
  if (!allowed) {
    metrics.report('pool.retries_denied', 1, { pool: server.pool });
  }
  if (report.decision !== 'pass-on') {
    logger.event('attemptEnded', {
      ...facts,
      serverId: server.serverId,
      budget: allowed,
      remainingMs: Math.round(remainingMs),
    });
  }
}
