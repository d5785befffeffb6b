/** Number of shard logs; fixed, because the shard of a key must never change. */
export const SHARD_COUNT = 64;

/** Commits that a shard may make without a pause, so that a quiet shard adds no delay. */
export const COMMIT_BURST = 4;

/** Long-run spacing of the commits of one shard: 64 shards / 160 ms = 400 writes/s, within the store's rate. */
export const COMMIT_INTERVAL_MS = 160;

/** Largest batch of operations in one entry; with 16 KB answers an entry stays under 300 KB. */
export const MAX_BATCH_BYTES = 262_144;

/** Log length at which the shard is compacted. */
export const COMPACT_ENTRIES = 64;

/** Log size at which the shard is compacted; the whole log must be readable in one answer of 1 MB. */
export const COMPACT_BYTES = 393_216;

/** Largest snapshot. The store holds 1 MB; base64 in its JSON form takes a third more. */
export const MAX_SNAPSHOT_BYTES = 700_000;

/** Largest answer that is kept in the log. */
export const MAX_ANSWER_BYTES = 16_384;

export const ANSWER_RETENTION_MS = 600_000;

export const CLAIM_RETENTION_MS = 86_400_000;

/** First and longest pause before a failed store call is repeated. */
export const RETRY_MIN_MS = 25;
export const RETRY_MAX_MS = 400;
