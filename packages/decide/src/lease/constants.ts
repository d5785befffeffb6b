/** Share of the time to live that the holder gives up; covers the drift of two clocks and one scheduling delay. */
export const LEASE_MARGIN_RATIO = 0.2;

/** Share of the time to live after which the holder renews. */
export const LEASE_RENEW_RATIO = 1 / 3;

/** Wait after a failed grant. */
export const LEASE_RETRY_MS = 1_000;
