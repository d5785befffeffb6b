import { z } from 'zod';
import {
  fromSnapshot,
  toSnapshot,
  type SequencedEntry,
  type Segment,
  type SegmentMetadata,
  type ShardAction,
  type SnapshotView,
} from '@bergamotcove/decide';
import { BackendError, type Compare, type StoreClient, type StoreEntry } from '@bergamotcove/backends';
import { claimSnapshotSchema, logEntrySchema } from '@bergamotcove/protocol';
import type { CommitQueue } from './createCommitQueue.js';

const CLAIMS_PREFIX = '/bergamot/claims';
const SHARD_DIGITS = 2;
const SEQ_DIGITS = 12;
const PAGE_ENTRIES = 64;

type Load = Extract<ShardAction, { type: 'load' }>;
type Append = Extract<ShardAction, { type: 'append' }>;
type Compact = Extract<ShardAction, { type: 'compact' }>;

/** Result of a read of a shard. */
export interface ShardContent {
  /** Absent when the snapshot is unchanged. */
  readonly snapshot?: SnapshotView;
  /** Segments of the snapshot that the reader did not have yet. */
  readonly segments?: readonly Segment[];
  readonly entries: readonly SequencedEntry[];
}

/** Reads and writes one shard log in the store. Calls reject with BackendError. */
export interface ShardStore {
  load(action: Load): Promise<ShardContent>;
  append(action: Append): Promise<boolean>;
  compact(action: Compact): Promise<{ readonly succeeded: boolean; readonly revision: string }>;
}

const parseValue = <Schema extends z.ZodType>(schema: Schema, entry: StoreEntry): z.output<Schema> => {
  try {
    return schema.parse(JSON.parse(entry.value));
  } catch (cause) {
    throw new BackendError('invalid-answer', `the value of ${entry.key} does not match its schema`, { cause });
  }
};

const toSnapshotView = (entry: StoreEntry | undefined): SnapshotView => {
  if (entry === undefined) {
    return { revision: '0', throughSeq: 0, records: new Map(), runs: [], segments: [], nextSegment: 1 };
  }
  const snapshot = parseValue(claimSnapshotSchema, entry);
  const { throughSeq, segments, nextSegment } = snapshot;
  return { revision: entry.modRevision, throughSeq, ...fromSnapshot(snapshot), segments, nextSegment };
};

/** Shard log in the configuration store. */
class ConfigStoreShard implements ShardStore {
  private readonly snapshotKey: string;

  private readonly logPrefix: string;

  private readonly segmentPrefix: string;

  constructor(
    private readonly store: StoreClient,
    private readonly commits: CommitQueue,
    shard: number,
  ) {
    const root = `${CLAIMS_PREFIX}/${String(shard).padStart(SHARD_DIGITS, '0')}`;
    this.snapshotKey = `${root}/snapshot`;
    this.logPrefix = `${root}/log/`;
    this.segmentPrefix = `${root}/segment/`;
  }

  /**
   * Reads the log before the snapshot, so that entries that are compacted after the log was read are in both. In the
   * other order, a compaction between the two reads would make the log look empty and the entries would be lost.
   */
  async load(action: Load): Promise<ShardContent> {
    if (action.knownRevision === undefined) {
      return this.loadAll(action);
    }
    const entries = await this.readLog(action.fromSeq);
    const compares = [this.compareSnapshot(action.knownRevision)];
    const read = await this.store.txn(compares, [], [{ type: 'get', key: this.snapshotKey }]);
    if (read.succeeded) {
      return { entries };
    }
    const snapshot = toSnapshotView(read.gets[0]);
    // The other host may have compacted fewer entries than this host has read.
    return snapshot.throughSeq + 1 < action.fromSeq
      ? this.loadAll(action)
      : this.readUnknownSegments(action, snapshot, entries);
  }

  append(action: Append): Promise<boolean> {
    return this.commits.append({
      key: this.formatLogKey(action.seq),
      value: JSON.stringify(action.entry),
      snapshot: this.compareSnapshot(action.snapshotRevision),
    });
  }

  async compact(action: Compact): Promise<{ readonly succeeded: boolean; readonly revision: string }> {
    const { compacted, dropped, throughSeq } = action;
    const { sealed } = compacted;
    const key = this.snapshotKey;
    this.commits.countTransaction();
    const { succeeded, revision } = await this.store.txn(
      [this.compareSnapshot(action.snapshotRevision)],
      [
        { type: 'put', key, value: JSON.stringify(toSnapshot(compacted, throughSeq)) },
        { type: 'delete', key: this.formatLogKey(0), rangeEnd: this.formatLogKey(throughSeq + 1) },
        ...(sealed === undefined
          ? []
          : [{ type: 'put' as const, key: this.formatSegmentKey(sealed.number), value: sealed.claims }]),
        ...dropped.map((number) => ({ type: 'delete' as const, key: this.formatSegmentKey(number) })),
      ],
    );
    return { succeeded, revision };
  }

  private async loadAll(action: Load): Promise<ShardContent> {
    const entries = await this.readLog(0);
    return this.readUnknownSegments(action, toSnapshotView(await this.store.get(this.snapshotKey)), entries);
  }

  private async readUnknownSegments(
    action: Load,
    snapshot: SnapshotView,
    entries: readonly SequencedEntry[],
  ): Promise<ShardContent> {
    const unknown = snapshot.segments.filter(({ number }) => !action.knownSegments.includes(number));
    const segments = await this.readSegments(unknown);
    return { snapshot, segments, entries: entries.filter(({ seq }) => seq > snapshot.throughSeq) };
  }

  /** Reads segments one by one, because each may fill an answer of the store; deleted segments are skipped. */
  private async readSegments(segments: readonly SegmentMetadata[]): Promise<readonly Segment[]> {
    const found: Segment[] = [];
    for (const metadata of segments) {
      // Reading one segment at a time bounds the memory used.
      // eslint-disable-next-line no-await-in-loop
      const entry = await this.store.get(this.formatSegmentKey(metadata.number));
      if (entry !== undefined) {
        found.push({ ...metadata, claims: entry.value });
      }
    }
    return found;
  }

  private compareSnapshot(revision: string): Compare {
    return { type: 'mod-revision', key: this.snapshotKey, revision };
  }

  private formatSegmentKey(number: number): string {
    return `${this.segmentPrefix}${String(number).padStart(SEQ_DIGITS, '0')}`;
  }

  private formatLogKey(seq: number): string {
    return `${this.logPrefix}${String(seq).padStart(SEQ_DIGITS, '0')}`;
  }

  /**
   * Reads the log in pages, because an answer is limited to 1 MB. A page that fails, as one that is too large does, is
   * read again with fewer entries.
   */
  private async readLog(fromSeq: number): Promise<readonly SequencedEntry[]> {
    const found: SequencedEntry[] = [];
    const rangeEnd = this.formatLogKey(Number('9'.repeat(SEQ_DIGITS)));
    let limit = PAGE_ENTRIES;
    for (;;) {
      const from = this.formatLogKey(found.at(-1) === undefined ? fromSeq : (found.at(-1) as SequencedEntry).seq + 1);
      try {
        // Pages are sequential: each starts after the last entry of the one before.
        // eslint-disable-next-line no-await-in-loop
        const { entries } = await this.store.range(from, { rangeEnd, limit });
        found.push(...entries.map((entry) => this.toSequencedEntry(entry)));
        if (entries.length < limit) {
          return found;
        }
      } catch (cause) {
        if (limit === 1) {
          throw cause;
        }
        limit = Math.ceil(limit / 4);
      }
    }
  }

  private toSequencedEntry(entry: StoreEntry): SequencedEntry {
    return { seq: Number(entry.key.slice(this.logPrefix.length)), entry: parseValue(logEntrySchema, entry) };
  }
}

/**
 * Creates the store access of one shard log.
 *
 * @param store - configuration store
 * @param commits - commit queue of this host
 * @param shard - shard number
 * @returns the store access
 */
export default function createShardStore(store: StoreClient, commits: CommitQueue, shard: number): ShardStore {
  return new ConfigStoreShard(store, commits, shard);
}
