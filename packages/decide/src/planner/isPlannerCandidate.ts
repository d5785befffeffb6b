import rankByRendezvous from '../membership/rankByRendezvous.js';

// A second candidate takes over when the first is cut off from the store; more would only add store calls.
const CANDIDATES = 2;

/**
 * Decides if a host competes for the planner lease of a pool.
 *
 * @param hostIds - live entry hosts
 * @param pool - name of the pool
 * @param hostId - this host
 * @returns true for two of the hosts
 * @example
 * isPlannerCandidate(['a', 'b', 'c'], 'model-serving', 'a');
 */
export default function isPlannerCandidate(hostIds: readonly string[], pool: string, hostId: string): boolean {
  return rankByRendezvous(hostIds, `planner/${pool}`).slice(0, CANDIDATES).includes(hostId);
}
