/** Number of shard logs. It is fixed, because the shard of a key must never change. */
export const SHARD_COUNT = 64;

/** Commits that a host may make in a burst, so that commits are not delayed on a host with little traffic. */
export const COMMIT_BURST = 4;

/** Commits per second of all shard owners together; with those of the other hosts they make up the budget of 400. */
export const OWNER_COMMITS_PER_SECOND = 320;

/** Commits per second of all hosts that own no shard; they commit to shards whose owners they cannot reach. */
export const OTHER_COMMITS_PER_SECOND = 80;

/** Maximum size of the operations in one log entry; with answers of 16 KB an entry stays below 300 KB. */
export const MAX_BATCH_BYTES = 262_144;

/**
 * Number of log entries at which the shard is compacted. Each compaction rewrites the snapshot; at 5 commits/s of a
 * shard this is one rewrite every 51 s.
 */
export const COMPACT_ENTRIES = 256;

/** Log size at which the shard is compacted; the whole log must fit into one reply of 1 MB. */
export const COMPACT_BYTES = 393_216;

/** Maximum size of a snapshot. The store takes values of 1 MB, and the base64 of its JSON form adds a third. */
export const MAX_SNAPSHOT_BYTES = 700_000;

/** Size above which the finished claims of a snapshot are sealed into a segment. */
export const SEGMENT_BYTES = 400_000;

/** Maximum time between two claims of one run, so that most claims expire soon after their 24 hours. */
export const RUN_SPAN_MS = 3_600_000;

/** Part of a snapshot that answers must leave free for its other fields and for the claims that are shortened now. */
export const SNAPSHOT_MARGIN_BYTES = 40_000;

/** Default maximum number of segments of a shard; with it 64 shards hold 161 MB. */
export const MAX_SEGMENTS = 8;

/** Delay before the compaction of a full shard is tried again, because claims may have expired. */
export const FULL_RETRY_MS = 10_000;

/** Maximum size of an answer that is kept in the log. */
export const MAX_ANSWER_BYTES = 16_384;

/** Time for which the answer of a finished claim is kept. */
export const ANSWER_RETENTION_MS = 600_000;

/** Time for which a claim is kept; within it a key runs at most once. */
export const CLAIM_RETENTION_MS = 86_400_000;

/** Minimum and maximum back-off before a failed store call is retried. */
export const RETRY_MIN_MS = 25;
export const RETRY_MAX_MS = 400;
