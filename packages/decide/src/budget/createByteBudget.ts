import takeFromBucket from './takeFromBucket.js';
import type { Bucket } from './types.js';

/** Owner of the cross-region byte budget of one entry host. */
export interface ByteBudget {
  /** Whether the bytes fit now; nothing is taken. */
  hasRoom(bytes: ByteEstimate, nowMs: number): boolean;
  take(bytes: ByteEstimate, nowMs: number): boolean;
}

/** Bytes of one attempt in another region. */
export interface ByteEstimate {
  readonly requestBytes: number;
  readonly replyBytes: number;
}

/** Part of the budget that may be sent at once; the rest is the rate. Their sum bounds every window of 1 s. */
const BURST_SHARE = 0.25;

/**
 * Part of the budget for requests. Replies use the other direction of the link, together with the requests of the
 * other region, so both kinds have a part of each direction.
 */
const REQUEST_SHARE = 0.75;

/**
 * Creates the byte budget of one entry host.
 *
 * @param bytesPerSecond - this host's share of the bytes of the link in any window of 1 s, in each direction
 * @returns the budget
 * @example
 * const budget = createByteBudget(222_000);
 */
export default function createByteBudget(bytesPerSecond: number): ByteBudget {
  const toSpec = (share: number) => ({
    ratePerSecond: bytesPerSecond * share * (1 - BURST_SHARE),
    capacity: bytesPerSecond * share * BURST_SHARE,
  });
  const requestSpec = toSpec(REQUEST_SHARE);
  const replySpec = toSpec(1 - REQUEST_SHARE);
  let requests: Bucket | undefined;
  let replies: Bucket | undefined;

  const probe = (bytes: ByteEstimate, nowMs: number) => ({
    request: takeFromBucket(requests, requestSpec, { amount: bytes.requestBytes, nowMs }),
    reply: takeFromBucket(replies, replySpec, { amount: bytes.replyBytes, nowMs }),
  });

  return {
    hasRoom: (bytes, nowMs) => {
      const { request, reply } = probe(bytes, nowMs);
      return request.taken && reply.taken;
    },
    take: (bytes, nowMs) => {
      const { request, reply } = probe(bytes, nowMs);
      if (!request.taken || !reply.taken) {
        return false;
      }
      requests = request.bucket;
      replies = reply.bucket;
      return true;
    },
  };
}
