import type { PoisonState } from './types.js';

/**
 * Reads how long a fingerprint stays blocked.
 *
 * @param state - suspicions of the host
 * @param fingerprint - fingerprint of a request
 * @param nowMs - monotonic time
 * @returns remaining time, or undefined when the fingerprint is not blocked
 */
export default function readBlock(state: PoisonState, fingerprint: string, nowMs: number): number | undefined {
  const untilMs = state.blocks.get(fingerprint);
  return untilMs === undefined || untilMs <= nowMs ? undefined : untilMs - nowMs;
}
