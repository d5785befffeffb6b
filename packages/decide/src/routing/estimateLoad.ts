import type { ServerStats } from './types.js';

/**
 * Estimates the attempts on a server: those of this host, exactly, and those of the other hosts, from the load report.
 *
 * @param stats - statistics of the server
 * @returns the number of attempts
 * @example
 * estimateLoad(stats) < stats.limit;
 */
export default function estimateLoad(stats: ServerStats): number {
  return stats.outstanding + stats.othersOutstanding;
}
