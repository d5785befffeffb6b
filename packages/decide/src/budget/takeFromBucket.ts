import refillBucket from './refillBucket.js';
import reserveFromBucket from './reserveFromBucket.js';
import type { Bucket, BucketSpec, BucketStep } from './types.js';

/**
 * Takes an amount from a token bucket if it is available. In any window of W seconds the bucket yields at most
 * `capacity + ratePerSecond * W`.
 *
 * @param bucket - state before; undefined for a full bucket
 * @param spec - rate and burst
 * @param options - amount and monotonic time
 * @returns state after, whether the amount was taken, and the wait if it was not
 * @example
 * takeFromBucket(bucket, { ratePerSecond: 50, capacity: 25 }, { amount: 1, nowMs });
 */
export default function takeFromBucket(
  bucket: Bucket | undefined,
  spec: BucketSpec,
  options: { readonly amount: number; readonly nowMs: number },
): BucketStep {
  const reservation = reserveFromBucket(bucket, spec, options);
  const taken = reservation.waitMs === 0;
  return { ...reservation, taken, ...(taken ? {} : { bucket: refillBucket(bucket, spec, options.nowMs) }) };
}
