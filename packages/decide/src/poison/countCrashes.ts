import { POISON_BLOCK_MS } from './constants.js';
import type { PoisonState } from './types.js';

/**
 * Counts the crashes that may have come under a request, those after its answer included.
 *
 * @param state - suspicions of the host
 * @param fingerprint - fingerprint of the request
 * @param nowMs - monotonic time
 * @returns crashes that still count
 */
export default function countCrashes(state: PoisonState, fingerprint: string, nowMs: number): number {
  return state.crashes.filter(
    ({ atMs, fingerprints, answered }) =>
      atMs + POISON_BLOCK_MS > nowMs && (fingerprints.has(fingerprint) || answered.has(fingerprint)),
  ).length;
}
