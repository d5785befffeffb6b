import type { AttemptEnd, RetryDecision, ServerView } from '@bergamotcove/decide';
import type { Logger } from '@bergamotcove/log';
import type { ScrapedMetrics } from '@bergamotcove/telemetry';

/** What is counted and logged of an attempt that has ended. */
export interface AttemptReport {
  readonly requestId: string;
  readonly fingerprint: string;
  readonly server: ServerView;
  readonly end: AttemptEnd['type'];
  readonly decision: RetryDecision;
  /** Whether this host gave up the attempt because its server sent nothing. */
  readonly silent: boolean;
  /** False when the retry budget denied a retry. */
  readonly allowed: boolean;
  readonly runs: number;
  readonly sends: number;
  readonly remainingMs: number;
}

/**
 * Counts an attempt, and logs it unless its answer is passed on.
 *
 * @param report - the attempt and the decision that follows it
 * @param sinks - logger and metrics
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
