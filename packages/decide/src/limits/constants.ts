/** A limit that no answer has repeated for this long has ended. */
export const STATEMENT_LIFETIME_MS = 30_000;
/** Limits from this rate on are not tracked: they are far above what one server is sent. */
export const MAX_TRACKED_RATE = 10_000;
/** Rate for limits below it: only the answer to a request can show that a limit of 0 has ended. */
export const MIN_RATE = 0.1;
/** Time whose sends may be saved up beside one, so that a request that comes late for its turn loses none for others. */
export const BURST_MS = 250;
/** Denied requests per send that are told the same time to ask again; more are told a later one. */
export const ASKS_PER_SEND = 2;
/** Shortest time until a host may ask again, when the sends that are left are kept for others. */
export const MIN_DENIAL_MS = 20;
/** Longest time until a host may ask again; its other requests would never learn that a server has room. */
export const MAX_DENIAL_MS = 5_000;
/** Time after its slot for which a send is kept for a request that waits. */
export const SLOT_GRACE_MS = 300;
/** Time within which a caller that was told when to come back is served ahead of others. */
export const PROMISE_GRACE_MS = 1_000;
/** Callers are told times up to this time ahead. */
export const SLOT_HORIZON_MS = 10_000;
