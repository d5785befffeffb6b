import type { ClaimOp, ClaimOpResult, ClaimRecord, LogEntry } from '@bergamotcove/protocol';

/** Records by key hash. */
export type ClaimRecords = ReadonlyMap<string, ClaimRecord>;

/** An operation that waits to become durable. */
export interface PendingOp {
  readonly opId: string;
  readonly op: ClaimOp;
  /** Whether an append with this operation was sent; it may take effect even if nobody waits for it. */
  readonly tried: boolean;
}

/** Finished claims without their answers. */
export interface ClaimRun {
  readonly oldestWallMs: number;
  readonly newestWallMs: number;
  /** Key and body hashes of fixed width, sorted. */
  readonly claims: string;
}

/** A run in a key of its own, which never changes. */
export interface Segment extends ClaimRun {
  /** Never used twice in a shard. */
  readonly number: number;
}

/** What the snapshot says about a segment. */
export type SegmentPlace = Omit<Segment, 'claims'>;

/** Everything that a shard holds. */
export interface ShardContent {
  /** Claims that are open or released, or whose answers are kept. */
  readonly records: ClaimRecords;
  /** Finished claims in the snapshot, oldest first. */
  readonly runs: readonly ClaimRun[];
  /** Oldest first. */
  readonly segments: readonly Segment[];
  readonly nextSegment: number;
}

/** A shard after retention. */
export interface CompactedShard extends ShardContent {
  /** Segment that the compaction adds. */
  readonly sealed: Segment | undefined;
}

/** Snapshot as it stands in the store; revision '0' when there is none. */
export interface SnapshotView {
  readonly revision: string;
  readonly throughSeq: number;
  readonly records: ClaimRecords;
  readonly runs: readonly ClaimRun[];
  readonly segments: readonly SegmentPlace[];
  readonly nextSegment: number;
}

/** An entry with its place in the log. */
export interface PlacedEntry {
  readonly seq: number;
  readonly entry: LogEntry;
}

/** What the shard is doing; at most one store call is in flight. */
export type ShardPhase =
  | { readonly type: 'cold' }
  /** Reads the log; `reads` are those that asked for a fresh view before the read began. */
  | { readonly type: 'loading'; readonly reads: readonly string[] }
  | { readonly type: 'ready' }
  | { readonly type: 'appending'; readonly entry: LogEntry; readonly ops: readonly PendingOp[] }
  | { readonly type: 'compacting'; readonly compacted: CompactedShard; readonly throughSeq: number }
  /** Waits before it repeats a failed read. */
  | { readonly type: 'load-paused' }
  /** Waits before it repeats an append whose reply was lost. */
  | { readonly type: 'append-paused'; readonly entry: LogEntry; readonly ops: readonly PendingOp[] };

/** One shard log as one host knows it. */
export interface ShardState {
  readonly phase: ShardPhase;
  readonly snapshotRevision: string;
  readonly nextSeq: number;
  /** Records of the snapshot. */
  readonly base: ClaimRecords;
  /** Records changed by the log after the snapshot; kept apart so that a commit copies only these. */
  readonly recent: ClaimRecords;
  readonly runs: readonly ClaimRun[];
  readonly segments: readonly Segment[];
  readonly nextSegment: number;
  readonly logEntries: number;
  readonly logBytes: number;
  readonly pending: readonly PendingOp[];
  /** Reads that wait for a fresh view of the log and are not served by the read in flight. */
  readonly refreshes: readonly string[];
  /** Whether a turn to commit was asked for and has not come yet. */
  readonly commitWanted: boolean;
  readonly failures: number;
  readonly nextEntry: number;
  /** Whether new claims are refused, because the shard has no room. */
  readonly full: boolean;
  /** Monotonic time from which a full shard is compacted again. */
  readonly fullUntilMs: number;
}

/** Limits of a shard. */
export interface ShardLimits {
  /** Log length at which the shard is compacted; {@link COMPACT_ENTRIES} by default. */
  readonly compactEntries?: number | undefined;
  /** Size of the finished claims above which they are sealed; {@link SEGMENT_BYTES} by default. */
  readonly segmentBytes?: number | undefined;
  /** Segments that the shard may have; {@link MAX_SEGMENTS} by default. */
  readonly maxSegments?: number | undefined;
}

/** Identity of the process that keeps the state. */
export interface ShardOptions extends ShardLimits {
  /** Unique per process; part of the entry ids. */
  readonly hostId: string;
  /** Wall time for retention. */
  readonly wallMs: number;
}

/** Something that happened to a shard. */
export type ShardEvent =
  | { readonly type: 'submitted'; readonly opId: string; readonly op: ClaimOp }
  /** Nobody waits for the operation any more; it is not appended if it has not been yet. */
  | { readonly type: 'abandoned'; readonly opId: string }
  | { readonly type: 'refresh-requested'; readonly readId: string }
  | {
      readonly type: 'loaded';
      /** Absent when the snapshot is still the known one; the entries then follow the known log. */
      readonly snapshot?: SnapshotView;
      /** Segments of the snapshot that were not known before. */
      readonly segments?: readonly Segment[];
      readonly entries: readonly PlacedEntry[];
    }
  | { readonly type: 'load-failed' }
  | { readonly type: 'append-decided'; readonly succeeded: boolean }
  /** No reply; the append may have taken effect. */
  | { readonly type: 'append-lost' }
  | { readonly type: 'compact-decided'; readonly succeeded: boolean; readonly revision: string }
  | { readonly type: 'compact-lost' }
  | { readonly type: 'woken' }
  /** The turn that was asked for. */
  | { readonly type: 'commit-due' };

/** What the interpreter must do next. */
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
  /** Wants the turn of this shard in the commits of the host; the answer is `commit-due`. */
  | { readonly type: 'commit-wanted' }
  | { readonly type: 'settle'; readonly opId: string; readonly result: ClaimOpResult }
  | { readonly type: 'refreshed'; readonly readId: string }
  | { readonly type: 'wake'; readonly delayMs: number };

/** New state and the actions that lead there. */
export interface ShardStep {
  readonly state: ShardState;
  readonly actions: readonly ShardAction[];
}
