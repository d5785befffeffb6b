/** Time that a fingerprint stays blocked, and that a crash counts. */
export const POISON_BLOCK_MS = 600_000;

/** Reports about the same server within this time are one crash, seen by several hosts. */
export const CRASH_MERGE_MS = 2_000;

/** The same for reports that name the same start: a silent server is noticed at different times. */
export const SAME_START_MERGE_MS = 10_000;

/**
 * Crashes after which a request that ran in all of them is blocked, whether they were crashes of one server, and
 * whether other requests ran in all of them too.
 */
export const SURE_CRASHES = 3;

/** Crashes that are remembered; a lost failure domain can break all of its servers at once. */
export const MAX_CRASHES = 512;

/** A server that ends is listed no more within this time: three heartbeats, the delay of the store and the watch. */
export const LOSS_WINDOW_MS = 8_000;

/** Processes of servers that are remembered, with those that have ended. */
export const MAX_ENDED_PROCESSES = 4_096;
