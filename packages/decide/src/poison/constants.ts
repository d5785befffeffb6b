/** Time for which a fingerprint stays blocked, and for which a crash counts. */
export const POISON_BLOCK_MS = 600_000;

/** Reports about the same server within this time are merged into one crash that several hosts detected. */
export const CRASH_MERGE_MS = 2_000;

/**
 * {@link CRASH_MERGE_MS} for reports that name the same `startId`. It is longer because hosts detect a server that has
 * stopped responding at different times.
 */
export const SAME_PROCESS_MERGE_MS = 10_000;

/**
 * Crashes after which a request that ran in all of them is blocked, even if they were all crashes of one server, and
 * even if other requests ran in all of them too.
 */
export const MIN_BLOCKING_CRASHES = 3;

/** Crashes of one pool within this time may have one cause and count as one. */
export const CRASH_MOMENT_MS = 100;

/** Time between the first and the last crash with a part from which the part is judged; an outage is shorter. */
export const MIN_CRASH_SPREAD_MS = 500;

/** Probability of its losses, if a part of a prompt has no influence on them, below which the part is blamed. */
export const MAX_CHANCE = 0.01;

/** Maximum number of crashes in the state; the loss of a failure domain can end all of its servers at once. */
export const MAX_CRASHES = 512;

/** Time for which successful runs of a request are kept. */
export const RUN_RETENTION_MS = 60_000;

/** Successful runs around a series of crashes that clear a request. */
export const CLEARING_RUNS = 6;

/** Successful runs up to this time before the first crash of a series count in favour of a request. */
export const RUN_LOOKBACK_MS = 5_000;

/** Time for which a server must survive after an answer, so that the answer counts as a successful run. */
export const MIN_SURVIVAL_MS = 500;

/** The requests that a server answers within this time before it ends may have crashed it. */
export const LAST_ANSWERS_WINDOW_MS = 300;

/**
 * Time within which a server that ended leaves the list of servers: three heartbeats, and the delays of the store and
 * of the watch.
 */
export const LOSS_WINDOW_MS = 8_000;

/** {@link LOSS_WINDOW_MS} for losses that occur while the list of servers is stale. */
export const STALE_LIST_LOSS_WINDOW_MS = 120_000;

/** Maximum number of server processes that are tracked, ended ones included. */
export const MAX_TRACKED_PROCESSES = 4_096;
