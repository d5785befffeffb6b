import { SERVER_QUEUE_TARGET } from './constants.js';
import type { LoadReport } from './types.js';

const MIN_LIMIT = 2;
const MAX_LIMIT = 1_024;

/**
 * Adapts the concurrency limit of a server to its load report. A server with a queue has no free slot, so its limit is
 * what it runs plus a short queue. A server without a queue that is close to its limit gets one more.
 *
 * @param limit - present limit
 * @param report - load report
 * @returns new limit
 * @example
 * adaptLimit(16, { running: 8, queued: 5, tokensPerSecond: 900, reportedAtMs: 0 }); // 10
 */
export default function adaptLimit(limit: number, report: LoadReport): number {
  if (report.queued > SERVER_QUEUE_TARGET) {
    return Math.max(MIN_LIMIT, report.running + SERVER_QUEUE_TARGET);
  }
  const nearLimit = report.running + report.queued >= limit - 1;
  return nearLimit && report.queued === 0 ? Math.min(MAX_LIMIT, limit + 1) : limit;
}
