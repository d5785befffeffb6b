import { Observable } from 'rxjs';
import type { Clock } from '@bergamotcove/clock';
import { HEADS_PREFIX } from '@bergamotcove/config';
import {
  BackendError,
  type Compare,
  type StoreClient,
  type StoreEntry,
  type StoreOp,
  type TxnResult,
  type WatchEvent,
} from '@bergamotcove/backends';
import type { PeerAddress } from '@bergamotcove/protocol';
import type { Traffic } from './createVirtualNetwork.js';

/** Faults of the store; tests and measurements change them while it runs. */
export interface StoreFaults {
  delayMs: number;
  down: boolean;
  /** Share of calls whose reply is lost after the effect. */
  lostReplyRatio: number;
  /** Share of range reads that show the state of some time ago. */
  staleReadRatio: number;
  isCut: (from: PeerAddress) => boolean;
}

/** The store in virtual time. */
export interface VirtualStore {
  readonly faults: StoreFaults;
  /** Times at which calls arrived. */
  readonly callTimesMs: readonly number[];
  client(from: PeerAddress, clock: Clock, traffic: Traffic): StoreClient;
  entry(key: string): StoreEntry | undefined;
  /** Writes past the compare-and-swap, as a restore from a backup does. */
  overwrite(key: string, value: string): void;
}

const TIMEOUT_MS = 1_000;
const CALL_BYTES = 600;
const STALE_REVISIONS = 5;

const wait = (clock: Clock, delayMs: number): Promise<void> =>
  new Promise((resolve) => {
    clock.schedule(delayMs, resolve);
  });

interface Watcher {
  readonly from: PeerAddress;
  readonly prefix: string;
  readonly next: (event: WatchEvent) => void;
  readonly fail: () => void;
}

class Store implements VirtualStore {
  readonly faults: StoreFaults = { delayMs: 2, down: false, lostReplyRatio: 0, staleReadRatio: 0, isCut: () => false };

  readonly callTimesMs: number[] = [];

  private readonly watchers = new Set<Watcher>();

  /** Every change in order; the index is the revision less one. */
  private readonly history: StoreEntry[] = [];

  private current = new Map<string, StoreEntry>();

  constructor(
    private readonly clock: Clock,
    private readonly random: () => number,
  ) {}

  entry(key: string): StoreEntry | undefined {
    return this.current.get(key);
  }

  overwrite(key: string, value: string): void {
    this.put(key, value, this.history.length + 1);
  }

  client(from: PeerAddress, clock: Clock, traffic: Traffic): StoreClient {
    const call = <Result>(run: () => Result): Promise<Result> => this.call({ from, clock, traffic }, run);
    const none = (): Promise<never> => Promise.reject(new BackendError('rejected', 'not in the virtual store'));
    return {
      get: (key) => call(() => this.current.get(key)),
      range: (prefix) => call(() => this.range(prefix)),
      txn: (compares, success, failure = []) => call(() => this.txn(compares, success, failure)),
      watch: (prefix, fromRevision) => this.watch({ from, clock, traffic }, prefix, Number(fromRevision)),
      grantLease: none,
      keepAlive: none,
      revokeLease: none,
      close: () => undefined,
    };
  }

  private unreachable(from: PeerAddress): boolean {
    return this.faults.down || this.faults.isCut(from);
  }

  private async call<Result>(
    { from, clock, traffic }: { readonly from: PeerAddress; readonly clock: Clock; readonly traffic: Traffic },
    run: () => Result,
  ): Promise<Result> {
    const counted = traffic;
    counted.storeCalls += 1;
    this.callTimesMs.push(this.clock.monotonicMs());
    await wait(clock, this.faults.delayMs / 2);
    if (this.unreachable(from) || this.faults.delayMs > TIMEOUT_MS) {
      await wait(clock, TIMEOUT_MS);
      throw new BackendError('outcome-unknown', 'the store did not answer');
    }
    const result = run();
    const lost = this.random() < this.faults.lostReplyRatio;
    await wait(clock, lost ? TIMEOUT_MS : this.faults.delayMs / 2);
    if (lost) {
      throw new BackendError('outcome-unknown', 'the reply was lost');
    }
    counted.storeBytes += CALL_BYTES + (JSON.stringify(result)?.length ?? 0) * 1.4;
    return result;
  }

  private range(prefix: string) {
    const stale = this.random() < this.faults.staleReadRatio;
    const revision = Math.max(0, this.history.length - (stale ? STALE_REVISIONS : 0));
    const entries = stale
      ? new Map(this.history.slice(0, revision).map((entry) => [entry.key, entry] as const))
      : this.current;
    return {
      entries: [...entries.values()].filter(({ key }) => key.startsWith(prefix)),
      revision: String(revision),
    };
  }

  private put(key: string, value: string, revision: number): void {
    const createRevision = this.current.get(key)?.createRevision ?? String(revision);
    const entry = { key, value, createRevision, modRevision: String(revision) };
    this.current.set(key, entry);
    this.history.push(entry);
    [...this.watchers]
      .filter(({ prefix }) => key.startsWith(prefix))
      .forEach(({ from, next, fail }) => (this.unreachable(from) ? fail() : next({ type: 'put', entry })));
  }

  private txn(compares: readonly Compare[], success: readonly StoreOp[], failure: readonly StoreOp[]): TxnResult {
    const succeeded = compares.every(({ type, key, revision }) => {
      const entry = this.current.get(key);
      return (
        (type === 'mod-revision' ? entry?.modRevision : entry?.createRevision) === revision ||
        (entry === undefined && revision === '0')
      );
    });
    const ops = succeeded ? success : failure;
    ops.forEach((op) => {
      if (op.type === 'put') {
        this.put(op.key, op.value, this.history.length + 1);
      }
    });
    return { succeeded, revision: String(this.history.length), gets: [] };
  }

  private watch(
    { from, clock, traffic }: { readonly from: PeerAddress; readonly clock: Clock; readonly traffic: Traffic },
    prefix: string,
    fromRevision: number,
  ): Observable<WatchEvent> {
    return new Observable((subscriber) => {
      const counted = traffic;
      counted.storeCalls += 1;
      this.callTimesMs.push(this.clock.monotonicMs());
      const deliver = (event: WatchEvent): void => {
        counted.storeBytes += event.type === 'put' ? event.entry.value.length * 1.4 : 0;
        clock.schedule(this.faults.delayMs / 2, () => subscriber.next(event));
      };
      const fail = (): void => {
        clock.schedule(TIMEOUT_MS, () => subscriber.error(new BackendError('unavailable', 'the watch broke')));
      };
      const watcher: Watcher = { from, prefix, next: deliver, fail };
      if (this.unreachable(from)) {
        fail();
      } else {
        this.history
          .slice(Math.max(0, fromRevision - 1))
          .filter(({ key }) => key.startsWith(prefix))
          .forEach((entry) => deliver({ type: 'put', entry }));
        this.watchers.add(watcher);
      }
      return () => this.watchers.delete(watcher);
    });
  }
}

/** Key of the head of a service. */
export const headKey = (service: string): string => HEADS_PREFIX + service;

/** Creates the store. */
export function createVirtualStore(clock: Clock, random: () => number): VirtualStore {
  return new Store(clock, random);
}
