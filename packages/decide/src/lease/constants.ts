/**
 * Share of the time to live that the holder gives up. Of the 10 s of a planner's lease it covers a rate difference of
 * the clocks of host and store of up to 10%, one scheduling delay, and the time from the check to the arrival of an
 * order at an engine across regions (12 ms one way).
 */
export const LEASE_MARGIN_RATIO = 0.2;

/** Share of the time to live after which the holder renews. */
export const LEASE_RENEW_RATIO = 1 / 3;

/** Wait after a failed grant. */
export const LEASE_RETRY_MS = 1_000;

/** All holders take a new lease within this time when the store has forgotten the old ones. */
export const LEASE_SPREAD_MS = 2_000;
