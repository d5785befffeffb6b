import sortedBtree from 'sorted-btree';

/** A key with its value and revisions. */
export interface StoredKey {
  readonly key: string;
  readonly value: string;
  readonly createRevision: number;
  readonly modRevision: number;
  readonly leaseId?: string;
}

/** A change of a single key. */
export type StoreChange =
  | { readonly type: 'put'; readonly entry: StoredKey }
  | { readonly type: 'delete'; readonly key: string; readonly revision: number };

/** Read-only view of the keys at a revision. */
export interface StoreView {
  revision(): number;
  get(key: string): StoredKey | undefined;
  /** Keys in [from, to), sorted, at most `limit`. */
  range(from: string, to: string, limit?: number): readonly StoredKey[];
}

/** Keys, current revision and change history of the store stand-in. */
export interface StoreState extends StoreView {
  /** Applies the writes atomically under one new revision. */
  write(writes: readonly StoreWrite[]): void;
  /** Changes at or after the revision; undefined when the history no longer contains all of them. */
  changesSince(revision: number): readonly StoreChange[] | undefined;
  onChange(listener: (changes: readonly StoreChange[]) => void): () => void;
  /** Copy of the current keys, which later writes do not change. */
  snapshot(): StoreView;
}

/** A write: sets one key or deletes the range [from, to). */
export type StoreWrite =
  | { readonly type: 'put'; readonly key: string; readonly value: string; readonly leaseId?: string }
  | { readonly type: 'delete'; readonly from: string; readonly to: string };

const BTree = sortedBtree.default;

/** Maximum number of changes kept for watches that start at an earlier revision. */
const MAX_HISTORY_CHANGES = 20_000;

const compareKeys = (a: string, b: string): number => {
  if (a === b) {
    return 0;
  }
  return a < b ? -1 : 1;
};

const changeRevision = (change: StoreChange): number =>
  change.type === 'put' ? change.entry.modRevision : change.revision;

const createView = (keys: InstanceType<typeof BTree<string, StoredKey>>, revision: () => number): StoreView => ({
  revision,
  get: (key) => keys.get(key),
  range: (from, to, limit) => keys.getRange(from, to, false, limit).map(([, entry]) => entry),
});

/** Keeps the latest changes. Half of the maximum is dropped at once, so that appending stays cheap. */
const createHistory = () => {
  let changes: StoreChange[] = [];
  let firstRevision = 0;
  return {
    append: (added: readonly StoreChange[]): void => {
      changes.push(...added);
      if (changes.length > MAX_HISTORY_CHANGES) {
        const dropped = changes.splice(0, MAX_HISTORY_CHANGES / 2).at(-1);
        firstRevision = dropped === undefined ? firstRevision : changeRevision(dropped) + 1;
        changes = changes.filter((change) => changeRevision(change) >= firstRevision);
      }
    },
    since: (revision: number): readonly StoreChange[] | undefined =>
      revision < firstRevision ? undefined : changes.filter((change) => changeRevision(change) >= revision),
  };
};

/** Creates an empty key-value state. */
export default function createStoreState(): StoreState {
  const keys = new BTree<string, StoredKey>(undefined, compareKeys);
  const listeners = new Set<(changes: readonly StoreChange[]) => void>();
  const history = createHistory();
  let revision = 1;
  const view = createView(keys, () => revision);

  const put = (write: Extract<StoreWrite, { type: 'put' }>): StoreChange => {
    const entry: StoredKey = {
      key: write.key,
      value: write.value,
      createRevision: keys.get(write.key)?.createRevision ?? revision,
      modRevision: revision,
      ...(write.leaseId === undefined ? {} : { leaseId: write.leaseId }),
    };
    keys.set(write.key, entry);
    return { type: 'put', entry };
  };

  const remove = (write: Extract<StoreWrite, { type: 'delete' }>): readonly StoreChange[] =>
    view.range(write.from, write.to).map((entry) => {
      keys.delete(entry.key);
      return { type: 'delete', key: entry.key, revision };
    });

  return {
    ...view,
    write: (writes) => {
      revision += 1;
      const changes = writes.flatMap((write) => (write.type === 'put' ? [put(write)] : remove(write)));
      history.append(changes);
      listeners.forEach((listener) => listener(changes));
    },
    changesSince: history.since,
    onChange: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    snapshot: () => {
      const snapshotRevision = revision;
      return createView(keys.clone(), () => snapshotRevision);
    },
  };
}
