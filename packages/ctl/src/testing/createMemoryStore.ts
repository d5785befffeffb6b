import { BackendError, type StoreClient, type StoreEntry, type StoreOp, type TxnResult } from '@bergamotcove/backends';

/** Fault of one transaction. */
export type TxnFault = 'none' | 'reply-lost' | 'request-lost' | 'not-reached';

/** An in-memory store whose transactions fail as a test specifies. */
export interface MemoryStore extends StoreClient {
  /** Faults of the next transactions, in order; none after the last. */
  faults: TxnFault[];
  /** Runs before each transaction, for instance to write a concurrent change. */
  beforeTxn: () => void;
  readonly entries: Map<string, StoreEntry>;
}

const createLostReplyError = (): BackendError => new BackendError('outcome-unknown', 'the store did not answer');

/** Creates the function that runs transactions on the entries; each one increments the revision. */
const createRunner = (entries: Map<string, StoreEntry>): StoreClient['txn'] => {
  let revision = 1;
  const put = (op: Extract<StoreOp, { type: 'put' }>): void => {
    const text = String(revision);
    const createRevision = entries.get(op.key)?.createRevision ?? text;
    entries.set(op.key, { key: op.key, value: op.value, createRevision, modRevision: text });
  };
  return (compares, success, failure = []) => {
    const succeeded = compares.every(({ type, key, revision: expected }) => {
      const entry = entries.get(key);
      return ((type === 'mod-revision' ? entry?.modRevision : entry?.createRevision) ?? '0') === expected;
    });
    const ops = succeeded ? success : failure;
    revision += 1;
    ops.filter((op) => op.type === 'put').forEach(put);
    const gets = ops.flatMap((op) => (op.type === 'get' ? [entries.get(op.key)] : []));
    return Promise.resolve<TxnResult>({ succeeded, revision: String(revision), gets });
  };
};

/**
 * Creates an in-memory store for tests of the commands.
 *
 * @returns the store
 */
export default function createMemoryStore(): MemoryStore {
  const entries = new Map<string, StoreEntry>();
  const run = createRunner(entries);
  const store: MemoryStore = {
    entries,
    faults: [],
    beforeTxn: () => undefined,
    get: (key) => Promise.resolve(entries.get(key)),
    range: (prefix, { rangeEnd = `${prefix}\uffff`, limit = Infinity } = {}) => {
      const found = [...entries.values()].filter(({ key }) => key >= prefix && key < rangeEnd);
      found.sort((a, b) => (a.key < b.key ? -1 : 1));
      return Promise.resolve({ entries: found.slice(0, limit), revision: '1' });
    },
    txn: async (compares, success, failure) => {
      store.beforeTxn();
      const fault = store.faults.shift() ?? 'none';
      if (fault === 'not-reached') {
        throw new BackendError('unavailable', 'the store refused the connection');
      }
      if (fault === 'request-lost') {
        throw createLostReplyError();
      }
      const result = await run(compares, success, failure);
      if (fault === 'reply-lost') {
        throw createLostReplyError();
      }
      return result;
    },
    watch: () => {
      throw new Error('the commands do not use watches');
    },
    grantLease: () => Promise.resolve('1'),
    keepAlive: () => Promise.resolve(0),
    revokeLease: () => Promise.resolve(),
    close: () => undefined,
  };
  return store;
}
