import refillBucket from './refillBucket.js';
import type { Bucket, BucketSpec, BucketStep } from './types.js';

const MS_PER_SECOND = 1_000;

/**
 * Takes an amount from a token bucket if it is there. In any window of W seconds the bucket yields at most
 * `capacity + ratePerSecond * W`.
 *
 * @param bucket - content before; undefined for a full bucket
 * @param spec - rate and burst
 * @param options - amount and time
 * @returns content after, and the wait when there was not enough
 * @example
 * takeFromBucket(bucket, { ratePerSecond: 50, capacity: 25 }, { amount: 1, nowMs });
 */
export default function takeFromBucket(
  bucket: Bucket | undefined,
  spec: BucketSpec,
  options: { readonly amount: number; readonly nowMs: number },
): BucketStep {
  const { amount, nowMs } = options;
  const filled = refillBucket(bucket, spec, nowMs);
  if (filled.amount >= amount) {
    return { bucket: { ...filled, amount: filled.amount - amount }, taken: true, waitMs: 0 };
  }
  const waitMs = Math.ceil(((amount - filled.amount) / spec.ratePerSecond) * MS_PER_SECOND);
  return { bucket: filled, taken: false, waitMs };
}
