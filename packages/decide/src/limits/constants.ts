/** A limit that no answer has repeated for this long has ended. */
export const STATEMENT_LIFETIME_MS = 30_000;
/** Limits from this rate on are not tracked: they are far above what one server is sent. */
export const MAX_TRACKED_RATE = 10_000;
