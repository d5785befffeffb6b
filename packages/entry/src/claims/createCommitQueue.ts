import type { Clock, Timer } from '@bergamotcove/clock';
import { COMMIT_BURST } from '@bergamotcove/decide';
import type { Compare, StoreClient } from '@bergamotcove/backends';

/** One new log entry. */
export interface LogAppend {
  /** Key of the entry; it must not exist. */
  readonly key: string;
  readonly value: string;
  /** Condition on the snapshot of the shard. */
  readonly snapshot: Compare;
}

/** Spaces the commits of a host and puts the entries of several shards into one transaction. */
export interface CommitQueue {
  /** Calls `turn` when the next commit is due; appends that it makes go into that commit. */
  request(turn: () => void): void;
  /** Appends an entry. Resolves to whether it was created; rejects when that cannot be known. */
  append(entry: LogAppend): Promise<boolean>;
  /** Counts a transaction that is made apart from the queue. */
  note(): void;
  /** Time until the next commit. */
  delayMs(): number;
  close(): void;
}

/** Options of {@link createCommitQueue}. */
export interface CommitQueueOptions {
  readonly clock: Clock;
  readonly store: StoreClient;
  /** Time between two commits of this host in the long run. */
  readonly intervalMs: () => number;
}

interface Waiting extends LogAppend {
  readonly resolve: (created: boolean) => void;
  readonly reject: (cause: unknown) => void;
}

/** Largest transaction; base64 in the JSON form of the store takes a third more, and the store takes 1 MB. */
const MAX_COMMIT_BYTES = 524_288;

/** Splits entries into transactions of bounded size; a single entry is never split. */
const splitBySize = (entries: readonly Waiting[]): readonly (readonly Waiting[])[] => {
  const groups: Waiting[][] = [];
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
  private turns: (() => void)[] = [];

  private entries: Waiting[] = [];

  private tokens = COMMIT_BURST;

  private filledAtMs: number;

  private timer: Timer | undefined;

  private closed = false;

  constructor(private readonly options: CommitQueueOptions) {
    this.filledAtMs = options.clock.monotonicMs();
  }

  request(turn: () => void): void {
    this.turns.push(turn);
    this.schedule();
  }

  append(entry: LogAppend): Promise<boolean> {
    return new Promise((resolve, reject) => {
      this.entries.push({ ...entry, resolve, reject });
      this.schedule();
    });
  }

  note(): void {
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
    this.timer = this.options.clock.schedule(this.delayMs(), () => this.runTurn());
  }

  private runTurn(): void {
    const { turns } = this;
    this.turns = [];
    turns.forEach((turn) => turn());
    const { entries } = this;
    this.entries = [];
    splitBySize(entries).forEach((group) => this.commit(group));
    this.timer = undefined;
    if (this.turns.length > 0) {
      this.schedule();
    }
  }

  private refill(): void {
    const nowMs = this.options.clock.monotonicMs();
    const gained = (nowMs - this.filledAtMs) / this.options.intervalMs();
    this.tokens = Math.min(COMMIT_BURST, this.tokens + gained);
    this.filledAtMs = nowMs;
  }

  private commit(group: readonly Waiting[]): void {
    this.send(group).catch((cause: unknown) => group.forEach((entry) => entry.reject(cause)));
  }

  private async send(group: readonly Waiting[]): Promise<void> {
    this.note();
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
      this.separate(group, gets);
    }
  }

  /** A transaction failed as a whole: entries whose place is taken fail, and the others are appended without them. */
  private separate(group: readonly Waiting[], found: readonly unknown[]): void {
    const free = group.filter((_, index) => found[index] === undefined);
    group.filter((entry) => !free.includes(entry)).forEach(({ resolve }) => resolve(false));
    if (free.length < group.length) {
      splitBySize(free).forEach((rest) => this.commit(rest));
      return;
    }
    // No place is taken, so that a snapshot has changed; only appending one by one tells which.
    free.forEach((entry) => this.commit([entry]));
  }
}

/**
 * Creates the queue of a host's commits. Each entry of a transaction keeps its own conditions, so that an entry is
 * created only if its place is free and its snapshot is the known one, whatever it is committed with.
 *
 * @param options - clock, store and spacing
 * @returns the queue
 */
export default function createCommitQueue(options: CommitQueueOptions): CommitQueue {
  return new StoreCommitQueue(options);
}
