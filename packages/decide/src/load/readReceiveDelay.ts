import { RECEIVE_GAP_MS } from './constants.js';

/**
 * Time that a datagram may have waited in the socket. A host that was paused reads summaries of seconds ago, whose
 * stated ages have stood still; the ages then count from the begin of the pause, too large rather than too small.
 *
 * @param gapMs - time since this host last ran a timer
 * @returns what is added to the stated age of a report
 * @example
 * readReceiveDelay(6_000); // 6000
 */
export default function readReceiveDelay(gapMs: number): number {
  return gapMs > RECEIVE_GAP_MS ? gapMs : 0;
}
