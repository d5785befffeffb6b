import type { ServerStats } from './types.js';

/**
 * Estimates the attempts on a server: the exact number of this host plus the number of the other hosts from the last
 * load report.
 *
 * @param stats - statistics of the server
 * @returns the number of attempts
 * @example
 * estimateLoad(stats) < stats.slots;
 */
export default function estimateLoad(stats: ServerStats): number {
  return stats.outstanding + stats.othersOutstanding;
}
