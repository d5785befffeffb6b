import type { ClaimOp, ClaimOpResult, ClaimRecord, LogEntry } from '@bergamotcove/protocol';

/** Records by key hash. */
export type ClaimRecords = ReadonlyMap<string, ClaimRecord>;

/** An operation that is not durable yet. */
export interface PendingOp {
  readonly opId: string;
  readonly op: ClaimOp;
  /** Whether an append with this operation was sent; it may take effect even if no caller waits for it any more. */
  readonly tried: boolean;
}

/** A sorted run of finished claims, without their answers. */
export interface ClaimRun {
  readonly oldestWallMs: number;
  readonly newestWallMs: number;
  /** Concatenated key and body hashes of fixed width, sorted. */
  readonly claims: string;
}

/** An immutable run that is stored under a key of its own. */
export interface Segment extends ClaimRun {
  /** Unique within the shard; never reused. */
  readonly number: number;
}

/** Metadata of a segment, as the snapshot holds it. */
export type SegmentMetadata = Omit<Segment, 'claims'>;

/** Complete content of a shard. */
export interface ShardContent {
  /** Claims that are open or released, and finished ones whose answers are kept. */
  readonly records: ClaimRecords;
  /** Runs of finished claims in the snapshot, oldest first. */
  readonly runs: readonly ClaimRun[];
  /** Segments, oldest first. */
  readonly segments: readonly Segment[];
  readonly nextSegment: number;
}

/** Content of a shard after compaction. */
export interface CompactedShard extends ShardContent {
  /** Segment that the compaction adds, if any. */
  readonly sealed: Segment | undefined;
}

/** Snapshot as it was read from the store; revision '0' when there is none. */
export interface SnapshotView {
  readonly revision: string;
  readonly throughSeq: number;
  readonly records: ClaimRecords;
  readonly runs: readonly ClaimRun[];
  readonly segments: readonly SegmentMetadata[];
  readonly nextSegment: number;
}

/** A log entry with its sequence number. */
export interface SequencedEntry {
  readonly seq: number;
  readonly entry: LogEntry;
}

/** Phase of a shard; at most one store call is in flight. */
export type ShardPhase =
  | { readonly type: 'cold' }
  /** Reads the log; `reads` are the reads that were requested before this one began. */
  | { readonly type: 'loading'; readonly reads: readonly string[] }
  | { readonly type: 'ready' }
  | { readonly type: 'appending'; readonly entry: LogEntry; readonly ops: readonly PendingOp[] }
  | { readonly type: 'compacting'; readonly compacted: CompactedShard; readonly throughSeq: number }
  /** Waits before it retries a failed read. */
  | { readonly type: 'load-paused' }
  /** Waits before it retries an append whose reply was lost. */
  | { readonly type: 'append-paused'; readonly entry: LogEntry; readonly ops: readonly PendingOp[] };

/** State of one shard log on one host. */
export interface ShardState {
  readonly phase: ShardPhase;
  readonly snapshotRevision: string;
  readonly nextSeq: number;
  /** Records of the snapshot. */
  readonly base: ClaimRecords;
  /** Records that log entries after the snapshot changed; kept separate so that a commit copies only these. */
  readonly recent: ClaimRecords;
  readonly runs: readonly ClaimRun[];
  readonly segments: readonly Segment[];
  readonly nextSegment: number;
  readonly logEntries: number;
  readonly logBytes: number;
  readonly pending: readonly PendingOp[];
  /** Reads that need a fresh view of the log and cannot use the read in flight. */
  readonly refreshes: readonly string[];
  /** Whether a turn to commit was requested and has not come yet. */
  readonly commitWanted: boolean;
  /** Consecutive failed store calls, for the back-off. */
  readonly failures: number;
  readonly nextEntry: number;
  /** Whether new claims are refused because the shard has reached its size limits. */
  readonly full: boolean;
  /** Monotonic time from which the compaction of a full shard is tried again. */
  readonly fullUntilMs: number;
}

/** Limits of a shard. */
export interface ShardLimits {
  /** Log length at which the shard is compacted; {@link COMPACT_ENTRIES} by default. */
  readonly compactEntries?: number | undefined;
  /** Size above which the finished claims are sealed into a segment; {@link SEGMENT_BYTES} by default. */
  readonly segmentBytes?: number | undefined;
  /** Maximum number of segments of the shard; {@link MAX_SEGMENTS} by default. */
  readonly maxSegments?: number | undefined;
}

/** Limits of a shard, with the identity and the wall time of the process that holds its state. */
export interface ShardOptions extends ShardLimits {
  /** Unique per process; prefix of the ids of log entries. */
  readonly hostId: string;
  /** Wall time that retention is based on. */
  readonly wallMs: number;
}

/** Event of a shard. */
export type ShardEvent =
  | { readonly type: 'submitted'; readonly opId: string; readonly op: ClaimOp }
  /** No caller waits for the operation any more; it is dropped unless an append with it was already sent. */
  | { readonly type: 'abandoned'; readonly opId: string }
  | { readonly type: 'refresh-requested'; readonly readId: string }
  | {
      readonly type: 'loaded';
      /** Absent when the snapshot has not changed; the entries then follow the known part of the log. */
      readonly snapshot?: SnapshotView;
      /** Segments of the snapshot that were not known yet. */
      readonly segments?: readonly Segment[];
      readonly entries: readonly SequencedEntry[];
    }
  | { readonly type: 'load-failed' }
  | { readonly type: 'append-decided'; readonly succeeded: boolean }
  /** The append got no reply; it may have taken effect. */
  | { readonly type: 'append-lost' }
  | { readonly type: 'compact-decided'; readonly succeeded: boolean; readonly revision: string }
  | { readonly type: 'compact-lost' }
  | { readonly type: 'woken' }
  /** The requested turn to commit has come. */
  | { readonly type: 'commit-due' };

/** Action that the interpreter performs. */
export type ShardAction =
  | {
      readonly type: 'load';
      readonly fromSeq: number;
      readonly knownRevision: string | undefined;
      readonly knownSegments: readonly number[];
    }
  | { readonly type: 'append'; readonly seq: number; readonly snapshotRevision: string; readonly entry: LogEntry }
  | {
      readonly type: 'compact';
      readonly snapshotRevision: string;
      readonly throughSeq: number;
      readonly compacted: CompactedShard;
      /** Numbers of the expired segments. */
      readonly dropped: readonly number[];
    }
  /** Requests a turn for this shard in the commit queue of the host; the reply is `commit-due`. */
  | { readonly type: 'commit-wanted' }
  | { readonly type: 'settle'; readonly opId: string; readonly result: ClaimOpResult }
  | { readonly type: 'refreshed'; readonly readId: string }
  | { readonly type: 'wake'; readonly delayMs: number };

/** Result of one event: the new state and the actions to perform. */
export interface ShardStep {
  readonly state: ShardState;
  readonly actions: readonly ShardAction[];
}
