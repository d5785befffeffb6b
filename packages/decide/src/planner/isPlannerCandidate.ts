import rankByRendezvous from '../membership/rankByRendezvous.js';

// A second candidate takes over if the first cannot reach the store; more would only add calls to the store.
const CANDIDATES = 2;

/**
 * Decides whether a host competes for the planner lease of a pool.
 *
 * @param hostIds - ids of the live entry hosts
 * @param pool - name of the pool
 * @param hostId - id of this host
 * @returns true for the two hosts that rank highest for the pool
 * @example
 * isPlannerCandidate(['a', 'b', 'c'], 'model-serving', 'a');
 */
export default function isPlannerCandidate(hostIds: readonly string[], pool: string, hostId: string): boolean {
  return rankByRendezvous(hostIds, `planner/${pool}`).slice(0, CANDIDATES).includes(hostId);
}
