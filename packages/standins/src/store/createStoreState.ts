import sortedBtree from 'sorted-btree';

/** One key with its revisions. */
export interface StoredKey {
  readonly key: string;
  readonly value: string;
  readonly createRevision: number;
  readonly modRevision: number;
  readonly leaseId?: string;
}

/** A change of one key. */
export type StoreChange =
  | { readonly type: 'put'; readonly entry: StoredKey }
  | { readonly type: 'delete'; readonly key: string; readonly revision: number };

/** A read-only state of the keys at one revision. */
export interface StoreView {
  revision(): number;
  get(key: string): StoredKey | undefined;
  /** Keys in [from, to), sorted. */
  range(from: string, to: string, limit?: number): readonly StoredKey[];
}

/** Keys, revisions and change history of the store stand-in. */
export interface StoreState extends StoreView {
  /** Applies writes under one new revision. */
  write(writes: readonly StoreWrite[]): void;
  /** Changes at or after the revision; undefined when the history no longer reaches back so far. */
  changesSince(revision: number): readonly StoreChange[] | undefined;
  onChange(listener: (changes: readonly StoreChange[]) => void): () => void;
  /** The keys as they are now; later writes do not change it. */
  freeze(): StoreView;
}

/** One write. */
export type StoreWrite =
  | { readonly type: 'put'; readonly key: string; readonly value: string; readonly leaseId?: string }
  | { readonly type: 'delete'; readonly from: string; readonly to: string };

const BTree = sortedBtree.default;

/** Changes kept for watches that start in the past. */
const HISTORY_CHANGES = 20_000;

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

/** Keeps the newest changes; drops half of the bound at a time so that appending stays cheap. */
const createHistory = () => {
  let changes: StoreChange[] = [];
  let firstRevision = 0;
  return {
    append: (added: readonly StoreChange[]): void => {
      changes.push(...added);
      if (changes.length > HISTORY_CHANGES) {
        const dropped = changes.splice(0, HISTORY_CHANGES / 2).at(-1);
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
    freeze: () => {
      const frozenRevision = revision;
      return createView(keys.clone(), () => frozenRevision);
    },
  };
}
