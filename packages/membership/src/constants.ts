/** Time limit of one call to a peer. */
export const PEER_TIMEOUT_MS = 2_000;

/** Calls to peers that run at once when a document is pushed; bounds the burst on a small host. */
export const PUSH_CONCURRENCY = 8;

/** Characters of documents in one answer; keeps it well under the size limit of a call. */
export const MAX_PULL_CHARS = 500_000;

/** Longest wait of a start for the first documents; the host then starts unready. */
export const FIRST_LEARN_MS = 2_000;
