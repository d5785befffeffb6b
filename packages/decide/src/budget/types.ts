/** Rate and burst of a token bucket. */
export interface BucketSpec {
  readonly ratePerSecond: number;
  /** Largest amount that can be taken at once. */
  readonly capacity: number;
}

/** Content of a token bucket. */
export interface Bucket {
  readonly amount: number;
  readonly updatedAtMs: number;
}

/** Result of a reservation. */
export interface Reservation {
  readonly bucket: Bucket;
  /** Time until the reserved amount has flowed in; 0 when it was there. */
  readonly waitMs: number;
}

/** Result of an attempt to take from a bucket. */
export interface BucketStep {
  readonly bucket: Bucket;
  readonly taken: boolean;
  /** Time until the bucket has the wanted amount; 0 when it was taken. */
  readonly waitMs: number;
}

/** Budget of extra attempts as a ratio of first attempts. */
export interface RatioBudgetSpec {
  readonly ratio: number;
  readonly burst: number;
}
