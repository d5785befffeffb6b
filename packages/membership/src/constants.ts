/** Time limit of one call to a peer. */
export const PEER_TIMEOUT_MS = 2_000;

/** Largest number of concurrent calls when something is sent to many peers; limits the burst on a small host. */
export const PUSH_CONCURRENCY = 8;

/** Largest number of characters of documents in one answer; well under the size limit of a call. */
export const MAX_PULL_CHARS = 500_000;

/** Longest time for which the start waits for the first documents; after that, the host starts without being ready. */
export const INITIAL_LOAD_TIMEOUT_MS = 2_000;
