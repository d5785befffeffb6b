import { NEVER } from 'rxjs';
import { BackendError, type Compare, type StoreClient, type StoreEntry, type StoreOp } from '@bergamotcove/backends';

/** How a call behaves: normally, without effect, with a lost reply, or with an effect after the failure was reported. */
export type CallBehaviour = 'answered' | 'not-arrived' | 'reply-lost' | 'late-effect';

/** An in-memory store that counts calls and lets a test control the behaviour and the timing of each. */
export interface MemoryStore {
  readonly client: StoreClient;
  readonly calls: { txns: number; reads: number };
  /** Sizes of all values written. */
  readonly valueBytes: number[];
  keys(): readonly string[];
  write(key: string, value: string): void;
}

interface Txn {
  readonly compares: readonly Compare[];
  readonly success: readonly StoreOp[];
  readonly failure: readonly StoreOp[];
}

class MemoryKeys {
  readonly entries = new Map<string, StoreEntry>();

  readonly valueBytes: number[] = [];

  private revision = 1;

  run({ compares, success, failure }: Txn) {
    const succeeded = compares.every((compare) => this.holds(compare));
    const ops = succeeded ? success : failure;
    if (ops.some(({ type }) => type !== 'get')) {
      this.revision += 1;
    }
    ops.forEach((op) => this.apply(op));
    const gets = ops.flatMap((op) => (op.type === 'get' ? [this.entries.get(op.key)] : []));
    return { succeeded, revision: String(this.revision), gets };
  }

  range(from: string, to: string, limit = Infinity): readonly StoreEntry[] {
    return [...this.entries.values()]
      .filter(({ key }) => key >= from && key < to)
      .sort((a, b) => (a.key < b.key ? -1 : 1))
      .slice(0, limit);
  }

  private holds(compare: Compare): boolean {
    const entry = this.entries.get(compare.key);
    const revision = compare.type === 'create-revision' ? entry?.createRevision : entry?.modRevision;
    return (revision ?? '0') === compare.revision;
  }

  private apply(op: StoreOp): void {
    if (op.type === 'put') {
      const modRevision = String(this.revision);
      const createRevision = this.entries.get(op.key)?.createRevision ?? modRevision;
      this.entries.set(op.key, { key: op.key, value: op.value, createRevision, modRevision });
      this.valueBytes.push(op.value.length);
    } else if (op.type === 'delete') {
      this.range(op.key, op.rangeEnd ?? `${op.key}\0`).forEach(({ key }) => this.entries.delete(key));
    }
  }
}

/**
 * Creates the in-memory store.
 *
 * @param gate - called before and after each store call; its first result decides how the store call behaves
 * @returns client, call counts and content
 */
export default function createMemoryStore(
  gate: (call: string) => Promise<CallBehaviour> = () => Promise.resolve('answered'),
): MemoryStore {
  const keys = new MemoryKeys();
  const calls = { txns: 0, reads: 0 };
  const run = async <Result>(call: string, effect: () => Result): Promise<Result> => {
    const behaviour = await gate(call);
    if (behaviour === 'answered') {
      const result = effect();
      await gate(`${call} reply`);
      return result;
    }
    if (behaviour === 'reply-lost') {
      effect();
    } else if (behaviour === 'late-effect') {
      gate(`${call} late`).then(effect, () => undefined);
    }
    throw new BackendError('outcome-unknown', 'the reply was lost');
  };
  const read = <Result>(call: string, effect: () => Result): Promise<Result> => {
    calls.reads += 1;
    return run(call, effect);
  };
  const client = {
    get: (key: string) => read('get', () => keys.entries.get(key)),
    range: (from: string, bounds: { readonly rangeEnd?: string; readonly limit?: number } = {}) =>
      read('range', () => ({
        entries: keys.range(from, bounds.rangeEnd ?? `${from}\uffff`, bounds.limit),
        revision: '1',
      })),
    txn: (compares: readonly Compare[], success: readonly StoreOp[], failure: readonly StoreOp[] = []) => {
      calls.txns += 1;
      return run('txn', () => keys.run({ compares, success, failure }));
    },
    watch: () => NEVER,
    close: () => undefined,
  } as unknown as StoreClient;
  return {
    client,
    calls,
    valueBytes: keys.valueBytes,
    keys: () => [...keys.entries.keys()].sort(),
    write: (key, value) => keys.run({ compares: [], success: [{ type: 'put', key, value }], failure: [] }),
  };
}
