import { MIN_PAUSE_MS } from './constants.js';

/**
 * Computes the time that a datagram may have waited in the socket. After a pause, a host reads summaries that arrived
 * seconds ago, and the report ages in them leave out that wait. The wait is then taken from the beginning of the pause,
 * so that an age is rather too large than too small.
 *
 * @param gapMs - milliseconds since this host last ran a timer
 * @returns milliseconds to add to the stated age of a report
 * @example
 * readReceiveDelay(6_000); // 6000
 */
export default function readReceiveDelay(gapMs: number): number {
  return gapMs > MIN_PAUSE_MS ? gapMs : 0;
}
