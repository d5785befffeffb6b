/** Rate and burst of a token bucket. */
export interface BucketSpec {
  readonly ratePerSecond: number;
  /** Largest amount that can be taken at once. */
  readonly capacity: number;
}

/** State of a token bucket. */
export interface Bucket {
  readonly amount: number;
  readonly updatedAtMs: number;
}

/** Result of a reservation. */
export interface Reservation {
  readonly bucket: Bucket;
  /** Time until the bucket is refilled by the reserved amount; 0 if it was available. */
  readonly waitMs: number;
}

/** Result of an attempt to take from a bucket. */
export interface BucketStep {
  readonly bucket: Bucket;
  readonly taken: boolean;
  /** Time until the bucket has the requested amount; 0 if it was taken. */
  readonly waitMs: number;
}

/** Budget of extra attempts as a ratio of first attempts. */
export interface RatioBudgetSpec {
  readonly ratio: number;
  readonly burst: number;
}
