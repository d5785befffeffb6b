/** A permission is used within this time, or taken anew: one that is used later adds to the requests of another second. */
export const PERMISSION_MS = 250;
/** Hosts that may hand out the sends to a server at the same time: both sides of a partition have one. */
export const OWNERS = 2;
/** Factor by which a quick answer raises the rate. */
export const GROWTH = 1.5;
/** Rate at which the limit ends, as a multiple of the rate that a cold server tolerates. */
export const LAST_RATE = 8;
/** A server that has shown no strain for this time after its cold time has no limit. */
export const MAX_GROWTH_MS = 30_000;
/** Longest cold time, unless the pool's is long itself. */
export const MAX_COLD_MS = 60_000;
export const MAX_COLD_DURATIONS = 4;
/** Without news of the store for this time, a host leaves cold servers alone. */
export const NEWS_LIFETIME_MS = 2_000;
