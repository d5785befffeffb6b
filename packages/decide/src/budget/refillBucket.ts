import type { Bucket, BucketSpec } from './types.js';

const MS_PER_SECOND = 1_000;

/**
 * Refills a token bucket for the time since its last update.
 *
 * @param bucket - state before; undefined for a full bucket
 * @param spec - rate and burst
 * @param nowMs - monotonic time
 * @returns state at `nowMs`
 * @example
 * refillBucket({ amount: 0, updatedAtMs: 0 }, { ratePerSecond: 10, capacity: 5 }, 100); // amount 1
 */
export default function refillBucket(bucket: Bucket | undefined, spec: BucketSpec, nowMs: number): Bucket {
  if (bucket === undefined) {
    return { amount: spec.capacity, updatedAtMs: nowMs };
  }
  const refill = (Math.max(0, nowMs - bucket.updatedAtMs) / MS_PER_SECOND) * spec.ratePerSecond;
  return { amount: Math.min(spec.capacity, bucket.amount + refill), updatedAtMs: nowMs };
}
