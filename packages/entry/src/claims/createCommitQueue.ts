import type { Clock, Timer } from '@bergamotcove/clock';
import { COMMIT_BURST } from '@bergamotcove/decide';
import type { Compare, StoreClient } from '@bergamotcove/backends';

/** One new log entry. */
export interface LogAppend {
  /** Key of the entry; it must not exist. */
  readonly key: string;
  readonly value: string;
  /** Condition on the snapshot of the shard under which the entry is created. */
  readonly snapshot: Compare;
}

/** Limits the commit rate of a host and batches the entries of several shards into one transaction. */
export interface CommitQueue {
  /** Calls `onDue` when the next commit is due; entries that it appends are part of that commit. */
  requestCommit(onDue: () => void): void;
  /** Appends an entry. Resolves to whether the entry was created; rejects when this is unknown. */
  append(entry: LogAppend): Promise<boolean>;
  /** Counts a transaction that does not go through the queue towards the commit rate. */
  countTransaction(): void;
  /** Time until the next commit. */
  delayMs(): number;
  close(): void;
}

/** Options of {@link createCommitQueue}. */
export interface CommitQueueOptions {
  readonly clock: Clock;
  readonly store: StoreClient;
  /** Average time between two commits of this host. */
  readonly intervalMs: () => number;
}

interface PendingAppend extends LogAppend {
  readonly resolve: (created: boolean) => void;
  readonly reject: (cause: unknown) => void;
}

/** Maximum size of a transaction: base64 in the store's JSON format adds a third, and the store accepts 1 MB. */
const MAX_COMMIT_BYTES = 524_288;

/** Splits entries into transactions of bounded size; a single entry is never split. */
const splitBySize = (entries: readonly PendingAppend[]): readonly (readonly PendingAppend[])[] => {
  const groups: PendingAppend[][] = [];
  let sizeBytes = Infinity;
  entries.forEach((entry) => {
    sizeBytes += entry.value.length;
    if (sizeBytes > MAX_COMMIT_BYTES) {
      groups.push([]);
      sizeBytes = entry.value.length;
    }
    groups.at(-1)?.push(entry);
  });
  return groups;
};

class StoreCommitQueue implements CommitQueue {
  private dueCallbacks: (() => void)[] = [];

  private entries: PendingAppend[] = [];

  private tokens = COMMIT_BURST;

  private refilledAtMs: number;

  private timer: Timer | undefined;

  private closed = false;

  constructor(private readonly options: CommitQueueOptions) {
    this.refilledAtMs = options.clock.monotonicMs();
  }

  requestCommit(onDue: () => void): void {
    this.dueCallbacks.push(onDue);
    this.schedule();
  }

  append(entry: LogAppend): Promise<boolean> {
    return new Promise((resolve, reject) => {
      this.entries.push({ ...entry, resolve, reject });
      this.schedule();
    });
  }

  countTransaction(): void {
    this.refill();
    this.tokens -= 1;
  }

  delayMs(): number {
    this.refill();
    return Math.max(0, (1 - this.tokens) * this.options.intervalMs());
  }

  close(): void {
    this.closed = true;
    this.timer?.close();
  }

  private schedule(): void {
    if (this.closed || this.timer !== undefined) {
      return;
    }
    this.timer = this.options.clock.schedule(this.delayMs(), () => this.runCommit());
  }

  private runCommit(): void {
    const { dueCallbacks } = this;
    this.dueCallbacks = [];
    dueCallbacks.forEach((onDue) => onDue());
    const { entries } = this;
    this.entries = [];
    splitBySize(entries).forEach((group) => this.commit(group));
    this.timer = undefined;
    if (this.dueCallbacks.length > 0) {
      this.schedule();
    }
  }

  private refill(): void {
    const nowMs = this.options.clock.monotonicMs();
    const gained = (nowMs - this.refilledAtMs) / this.options.intervalMs();
    this.tokens = Math.min(COMMIT_BURST, this.tokens + gained);
    this.refilledAtMs = nowMs;
  }

  private commit(group: readonly PendingAppend[]): void {
    this.send(group).catch((cause: unknown) => group.forEach((entry) => entry.reject(cause)));
  }

  private async send(group: readonly PendingAppend[]): Promise<void> {
    this.countTransaction();
    const compares = group.flatMap(({ key, snapshot }): Compare[] => [
      { type: 'create-revision', key, revision: '0' },
      snapshot,
    ]);
    const puts = group.map(({ key, value }) => ({ type: 'put' as const, key, value }));
    const reads = group.length === 1 ? [] : group.map(({ key }) => ({ type: 'get' as const, key }));
    const { succeeded, gets } = await this.options.store.txn(compares, puts, reads);
    if (succeeded || group.length === 1) {
      group.forEach(({ resolve }) => resolve(succeeded));
    } else {
      this.retrySeparately(group, gets);
    }
  }

  /** After a failed transaction, entries whose key already exists fail; the others are committed again without them. */
  private retrySeparately(group: readonly PendingAppend[], found: readonly unknown[]): void {
    const free = group.filter((_, index) => found[index] === undefined);
    group.filter((entry) => !free.includes(entry)).forEach(({ resolve }) => resolve(false));
    if (free.length < group.length) {
      splitBySize(free).forEach((rest) => this.commit(rest));
      return;
    }
    // No key exists, so a snapshot has changed; committing the entries one by one shows which.
    free.forEach((entry) => this.commit([entry]));
  }
}

/**
 * Creates the commit queue of a host. Each entry of a transaction keeps its own conditions: it is created only if its
 * key does not exist and the snapshot of its shard is unchanged, whichever entries share the transaction.
 *
 * @param options - clock, store and commit interval
 * @returns the queue
 */
export default function createCommitQueue(options: CommitQueueOptions): CommitQueue {
  return new StoreCommitQueue(options);
}
