import { z } from 'zod';
import { fromSnapshot, toSnapshot, type PlacedEntry, type ShardAction, type SnapshotView } from '@bergamotcove/decide';
import { PlatformError, type Compare, type StoreClient, type StoreEntry } from '@bergamotcove/platform';
import { claimSnapshotSchema, logEntrySchema } from '@bergamotcove/protocol';

const CLAIMS_PREFIX = '/bergamot/claims';
const SHARD_DIGITS = 2;
const SEQ_DIGITS = 12;
const READ_ENTRIES = 64;

type Load = Extract<ShardAction, { type: 'load' }>;
type Append = Extract<ShardAction, { type: 'append' }>;
type Compact = Extract<ShardAction, { type: 'compact' }>;

/** What a read of a shard found. */
export interface ShardContent {
  /** Absent when the snapshot is still the known one. */
  readonly snapshot?: SnapshotView;
  readonly entries: readonly PlacedEntry[];
}

/** Reads and writes of one shard log. Calls reject with PlatformError. */
export interface ShardStore {
  load(action: Load): Promise<ShardContent>;
  append(action: Append): Promise<boolean>;
  compact(action: Compact): Promise<{ readonly succeeded: boolean; readonly revision: string }>;
}

const parseValue = <Schema extends z.ZodType>(schema: Schema, entry: StoreEntry): z.output<Schema> => {
  try {
    return schema.parse(JSON.parse(entry.value));
  } catch (cause) {
    throw new PlatformError('invalid-answer', `the value of ${entry.key} does not match its schema`, { cause });
  }
};

const toSnapshotView = (entry: StoreEntry | undefined): SnapshotView => {
  if (entry === undefined) {
    return { revision: '0', throughSeq: 0, records: new Map() };
  }
  const snapshot = parseValue(claimSnapshotSchema, entry);
  return { revision: entry.modRevision, throughSeq: snapshot.throughSeq, records: fromSnapshot(snapshot) };
};

/** Shard log in the configuration store. */
class StoreShard implements ShardStore {
  private readonly snapshotKey: string;

  private readonly logPrefix: string;

  constructor(
    private readonly store: StoreClient,
    shard: number,
  ) {
    const root = `${CLAIMS_PREFIX}/${String(shard).padStart(SHARD_DIGITS, '0')}`;
    this.snapshotKey = `${root}/snapshot`;
    this.logPrefix = `${root}/log/`;
  }

  async load(action: Load): Promise<ShardContent> {
    if (action.knownRevision !== undefined) {
      // The tail is read first: if the snapshot is unchanged after that, no entry of the tail was compacted away.
      const entries = await this.readLog(action.fromSeq);
      const compares = [this.compareSnapshot(action.knownRevision)];
      const read = await this.store.txn(compares, [], [{ type: 'get', key: this.snapshotKey }]);
      if (read.succeeded) {
        return { entries };
      }
    }
    const snapshot = toSnapshotView(await this.store.get(this.snapshotKey));
    return { snapshot, entries: await this.readLog(snapshot.throughSeq + 1) };
  }

  async append(action: Append): Promise<boolean> {
    const key = this.formatLogKey(action.seq);
    const result = await this.store.txn(
      [{ type: 'create-revision', key, revision: '0' }, this.compareSnapshot(action.snapshotRevision)],
      [{ type: 'put', key, value: JSON.stringify(action.entry) }],
    );
    return result.succeeded;
  }

  async compact(action: Compact): Promise<{ readonly succeeded: boolean; readonly revision: string }> {
    const value = JSON.stringify(toSnapshot(action.records, action.throughSeq));
    const { succeeded, revision } = await this.store.txn(
      [this.compareSnapshot(action.snapshotRevision)],
      [
        { type: 'put', key: this.snapshotKey, value },
        { type: 'delete', key: this.formatLogKey(0), rangeEnd: this.formatLogKey(action.throughSeq + 1) },
      ],
    );
    return { succeeded, revision };
  }

  private compareSnapshot(revision: string): Compare {
    return { type: 'mod-revision', key: this.snapshotKey, revision };
  }

  private formatLogKey(seq: number): string {
    return `${this.logPrefix}${String(seq).padStart(SEQ_DIGITS, '0')}`;
  }

  /** Reads the log in pages, because one answer is limited to 1 MB; a page that is too large is read in halves. */
  private async readLog(fromSeq: number): Promise<readonly PlacedEntry[]> {
    const found: PlacedEntry[] = [];
    const rangeEnd = this.formatLogKey(Number('9'.repeat(SEQ_DIGITS)));
    let limit = READ_ENTRIES;
    for (;;) {
      const from = this.formatLogKey(found.at(-1) === undefined ? fromSeq : (found.at(-1) as PlacedEntry).seq + 1);
      try {
        // Each page starts after the last entry of the page before.
        // eslint-disable-next-line no-await-in-loop
        const { entries } = await this.store.range(from, { rangeEnd, limit });
        found.push(...entries.map((entry) => this.toPlacedEntry(entry)));
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

  private toPlacedEntry(entry: StoreEntry): PlacedEntry {
    return { seq: Number(entry.key.slice(this.logPrefix.length)), entry: parseValue(logEntrySchema, entry) };
  }
}

/**
 * Creates the store side of one shard log.
 *
 * @param store - configuration store
 * @param shard - shard number
 * @returns reads and writes of the shard
 */
export default function createShardStore(store: StoreClient, shard: number): ShardStore {
  return new StoreShard(store, shard);
}
