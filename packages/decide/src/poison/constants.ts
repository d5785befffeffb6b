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

/** Time for which answers are remembered that speak for a request. */
export const RUN_MEMORY_MS = 60_000;

/** Answers around several crashes that clear a request of them. */
export const CLEARING_RUNS = 6;

/** Answers that came so long before the first of several crashes still speak for a request. */
export const RUN_LEAD_MS = 5_000;

/** Time for which a server has to live on after an answer that speaks for its request. */
export const SURVIVAL_MS = 500;

/** The requests that a server answers in this time before it ends may have ended it. */
export const LAST_ANSWERS_MS = 300;

/** A server that ends is listed no more within this time: three heartbeats, the delay of the store and the watch. */
export const LOSS_WINDOW_MS = 8_000;

/** The same for losses that come while the list of servers stands still. */
export const HELD_LOSS_WINDOW_MS = 120_000;

/** Processes of servers that are remembered, with those that have ended. */
export const MAX_ENDED_PROCESSES = 4_096;
