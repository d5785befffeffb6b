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

/** Keys, revisions and change history of the store stand-in. */
export interface StoreState {
  revision(): number;
  get(key: string): StoredKey | undefined;
  /** Keys in [from, to), sorted. */
  range(from: string, to: string): readonly StoredKey[];
  /** Applies writes under one new revision. */
  write(writes: readonly StoreWrite[]): void;
  /** Changes at or after the revision. */
  changesSince(revision: number): readonly StoreChange[];
  onChange(listener: (changes: readonly StoreChange[]) => void): () => void;
}

/** One write. */
export type StoreWrite =
  | { readonly type: 'put'; readonly key: string; readonly value: string; readonly leaseId?: string }
  | { readonly type: 'delete'; readonly from: string; readonly to: string };

const changeRevision = (change: StoreChange): number =>
  change.type === 'put' ? change.entry.modRevision : change.revision;

/** Creates an empty key-value state. */
export default function createStoreState(): StoreState {
  const keys = new Map<string, StoredKey>();
  const listeners = new Set<(changes: readonly StoreChange[]) => void>();
  const history: StoreChange[] = [];
  let revision = 1;

  const range = (from: string, to: string): readonly StoredKey[] =>
    [...keys.values()].filter((entry) => entry.key >= from && entry.key < to).sort((a, b) => (a.key < b.key ? -1 : 1));

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
    range(write.from, write.to).map((entry) => {
      keys.delete(entry.key);
      return { type: 'delete', key: entry.key, revision };
    });

  return {
    revision: () => revision,
    get: (key) => keys.get(key),
    range,
    write: (writes) => {
      revision += 1;
      const changes = writes.flatMap((write) => (write.type === 'put' ? [put(write)] : remove(write)));
      history.push(...changes);
      listeners.forEach((listener) => listener(changes));
    },
    changesSince: (from) => history.filter((change) => changeRevision(change) >= from),
    onChange: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}
