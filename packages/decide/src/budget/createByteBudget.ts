/** Cross-region byte budget of one entry host. */
export interface ByteBudget {
  /** Whether the bytes fit into the budget now; takes nothing. */
  hasRoom(bytes: ByteEstimate, nowMs: number): boolean;
  /** Takes the bytes from the budget; false if they do not fit. */
  take(bytes: ByteEstimate, nowMs: number): boolean;
}

/** Estimated bytes of one attempt in another region. */
export interface ByteEstimate {
  readonly requestBytes: number;
  readonly replyBytes: number;
}

/**
 * Share of the budget for requests. Replies use the other direction of the link, together with the requests of the
 * other region, so both kinds have a share of each direction. Requests that are worth sending to another region have
 * inputs ten times as large as their answers; with 0.8, requests used up their share while replies used less than half
 * of theirs.
 */
const REQUEST_SHARE = 0.91;

/** The window is a little longer than the 1 s of the bound, because sending takes time. */
const WINDOW_MS = 1_100;

interface Taken extends ByteEstimate {
  readonly atMs: number;
}

/**
 * Creates the byte budget of one entry host. It counts the bytes of a sliding window exactly, because a token bucket
 * with the same bound on every window needs a burst, which it loses from the sustained rate.
 *
 * @param bytesPerSecond - this host's share of the bytes of the link in any window of 1 s, in each direction
 * @returns the budget
 * @example
 * const budget = createByteBudget(222_000);
 */
export default function createByteBudget(bytesPerSecond: number): ByteBudget {
  let taken: readonly Taken[] = [];
  const hasRoom = (bytes: ByteEstimate, nowMs: number): boolean => {
    taken = taken.filter((one) => one.atMs > nowMs - WINDOW_MS);
    const requests = taken.reduce((sum, one) => sum + one.requestBytes, bytes.requestBytes);
    const replies = taken.reduce((sum, one) => sum + one.replyBytes, bytes.replyBytes);
    return requests <= bytesPerSecond * REQUEST_SHARE && replies <= bytesPerSecond * (1 - REQUEST_SHARE);
  };
  return {
    hasRoom,
    take: (bytes, nowMs) => {
      const fits = hasRoom(bytes, nowMs);
      if (fits) {
        taken = [...taken, { ...bytes, atMs: nowMs }];
      }
      return fits;
    },
  };
}
