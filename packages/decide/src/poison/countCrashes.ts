import { POISON_BLOCK_MS } from './constants.js';
import type { PoisonState } from './types.js';

/**
 * Counts the unexpired crashes that a request may have caused, including those shortly after its answer.
 *
 * @param state - crashes and blocks that the host knows
 * @param fingerprint - fingerprint of the request
 * @param nowMs - monotonic time
 * @returns number of crashes
 */
export default function countCrashes(state: PoisonState, fingerprint: string, nowMs: number): number {
  return state.crashes.filter(
    ({ atMs, fingerprints, answered }) =>
      atMs + POISON_BLOCK_MS > nowMs && (fingerprints.has(fingerprint) || answered.has(fingerprint)),
  ).length;
}
