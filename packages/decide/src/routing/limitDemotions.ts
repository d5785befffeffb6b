import { MAX_DEMOTED_SHARE, STRAGGLER_SLOWNESS } from './constants.js';
import type { ServerView } from './types.js';

/**
 * Selects the stragglers of a pool to demote, the slowest first. At most a third of the pool is demoted, so that a pool
 * that is slow as a whole keeps its capacity.
 *
 * @param servers - live servers of the pool
 * @returns ids of the demoted servers
 * @example
 * const demoted = limitDemotions(pool.servers);
 */
export default function limitDemotions(servers: readonly ServerView[]): ReadonlySet<string> {
  const slow = servers.filter((server) => server.slowness >= STRAGGLER_SLOWNESS);
  const room = Math.floor(servers.length * MAX_DEMOTED_SHARE);
  const worst = [...slow].sort((a, b) => b.slowness - a.slowness).slice(0, room);
  return new Set(worst.map((server) => server.serverId));
}
