import refillBucket from './refillBucket.js';
import type { Bucket, BucketSpec, Reservation } from './types.js';

const MS_PER_SECOND = 1_000;

/**
 * Reserves an amount of a token bucket and computes when it may be used. Amounts used no earlier than that add up to at
 * most `capacity + ratePerSecond * W` in any window of W seconds, apart from one amount larger than the capacity.
 *
 * @param bucket - state before; undefined for a full bucket
 * @param spec - rate and burst
 * @param options - amount and monotonic time
 * @returns state after, with a negative amount while reservations exceed the refill, and the wait
 * @example
 * reserveFromBucket(bucket, { ratePerSecond: 50, capacity: 25 }, { amount: 1, nowMs });
 */
export default function reserveFromBucket(
  bucket: Bucket | undefined,
  spec: BucketSpec,
  options: { readonly amount: number; readonly nowMs: number },
): Reservation {
  const filled = refillBucket(bucket, spec, options.nowMs);
  const amount = filled.amount - options.amount;
  return {
    bucket: { ...filled, amount },
    waitMs: Math.ceil((Math.max(0, -amount) / spec.ratePerSecond) * MS_PER_SECOND),
  };
}
