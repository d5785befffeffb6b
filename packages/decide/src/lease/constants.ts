/**
 * Safety margin: the part of the time to live that the holder does not use. For the 10 s lease of a planner it covers
 * a clock rate difference between host and store of up to 10%, one scheduling delay, and the time from the lease check
 * to the arrival of an order at an engine in another region (12 ms one way).
 */
export const LEASE_MARGIN_RATIO = 0.2;

/** Part of the time to live after which the holder renews the lease. */
export const LEASE_RENEW_RATIO = 1 / 3;

/** Mean delay before a failed call is retried; the delay varies randomly by half. */
export const LEASE_RETRY_MS = 1_000;

/** Maximum random delay before a new lease is requested when the store has lost the old ones of all holders. */
export const LEASE_JITTER_MS = 2_000;
