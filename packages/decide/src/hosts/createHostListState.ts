import type { PeerAddress } from '@bergamotcove/protocol';
import type { HostListState } from './types.js';

/**
 * Creates the initial state of a host that knows no list and no peers; it reads the list itself.
 *
 * @param self - address, failure domain and region of this host
 * @param options - interval between two reads, and monotonic time
 * @returns the state
 */
export default function createHostListState(
  self: PeerAddress,
  { readMs, nowMs }: { readonly readMs: number; readonly nowMs: number },
): HostListState {
  return {
    self,
    readMs,
    neighbours: [],
    isReader: true,
    known: undefined,
    reading: false,
    nextReadMs: nowMs,
    repairMs: undefined,
    readFailures: 0,
    confirmedMs: nowMs,
    answeredMs: undefined,
    nextNoticeMs: nowMs,
    olderSinceMs: undefined,
  };
}
