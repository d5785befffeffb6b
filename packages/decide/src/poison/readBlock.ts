import type { PoisonState } from './types.js';

/**
 * Returns how long a fingerprint stays blocked.
 *
 * @param state - crashes and blocks that the host knows
 * @param fingerprint - fingerprint of a request
 * @param nowMs - monotonic time
 * @returns remaining time in milliseconds, or undefined when the fingerprint is not blocked
 */
export default function readBlock(state: PoisonState, fingerprint: string, nowMs: number): number | undefined {
  const untilMs = state.blocks.get(fingerprint);
  return untilMs === undefined || untilMs <= nowMs ? undefined : untilMs - nowMs;
}
