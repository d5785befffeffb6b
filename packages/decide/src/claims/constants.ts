/** Number of shard logs; fixed, because the shard of a key must never change. */
export const SHARD_COUNT = 64;

/** Commits that a host may make without a pause, so that a quiet host adds no delay. */
export const COMMIT_BURST = 4;

/** Commits per second of all shard owners together; with the share of the other hosts it makes 400, the budget. */
export const OWNER_COMMITS_PER_SECOND = 320;

/** Commits per second of all hosts that own no shard, for shards whose owners they cannot reach. */
export const OTHER_COMMITS_PER_SECOND = 80;

/** Largest batch of operations in one entry; with 16 KB answers an entry stays under 300 KB. */
export const MAX_BATCH_BYTES = 262_144;

/**
 * Log length at which the shard is compacted. Each compaction rewrites the snapshot; at 5 commits/s of a shard this
 * is one rewrite in 51 s.
 */
export const COMPACT_ENTRIES = 256;

/** Log size at which the shard is compacted; the whole log must be readable in one answer of 1 MB. */
export const COMPACT_BYTES = 393_216;

/** Largest snapshot. The store holds 1 MB; base64 in its JSON form takes a third more. */
export const MAX_SNAPSHOT_BYTES = 700_000;

/** Size of the finished claims in a snapshot above which they are sealed into a segment. */
export const SEGMENT_BYTES = 400_000;

/** Longest time between two claims of one run, so that most claims expire soon after their 24 hours. */
export const RUN_SPAN_MS = 3_600_000;

/** Room of a snapshot that is not filled with answers: its other fields, and claims that are shortened now. */
export const SNAPSHOT_MARGIN_BYTES = 40_000;

/** Segments that a shard may have unless the operator sets another number: 64 shards then hold 161 MB. */
export const MAX_SEGMENTS = 8;

/** Pause before a full shard is compacted again, because expiry may have made room. */
export const FULL_RETRY_MS = 10_000;

/** Largest answer that is kept in the log. */
export const MAX_ANSWER_BYTES = 16_384;

export const ANSWER_RETENTION_MS = 600_000;

export const CLAIM_RETENTION_MS = 86_400_000;

/** First and longest pause before a failed store call is repeated. */
export const RETRY_MIN_MS = 25;
export const RETRY_MAX_MS = 400;
