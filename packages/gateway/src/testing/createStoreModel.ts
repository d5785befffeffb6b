import { Observable, type Subscriber } from 'rxjs';
import {
  BackendError,
  type EraTracker,
  type StoreClient,
  type StoreEntry,
  type WatchEvent,
} from '@bergamotcove/backends';
import type { Clock, Timer } from '@bergamotcove/clock';

/** Numbers of calls to the store, including failed ones. */
export interface StoreCalls {
  /** Number of reads, lease renewals and messages of watches, and of watches that fail at once. */
  reads: number;
  writes: number;
}

/** Copy of the state of the store at one time. */
export interface StoreCopy {
  readonly entries: ReadonlyMap<string, StoreEntry>;
  readonly leases: ReadonlySet<string>;
  readonly revision: number;
}

/** Model of the store in virtual time. It counts calls, and can be made unreachable for some hosts. */
export interface StoreModel {
  readonly calls: StoreCalls;
  /** Decides whether the calls of a host fail; tests replace it. */
  isUnreachable: (hostId: string) => boolean;
  put(key: string, value: object): void;
  remove(key: string): void;
  list(): readonly string[];
  /** Ids of the hosts that have a watch open. */
  listWatchers(): readonly string[];
  copy(): StoreCopy;
  /** Restores an older copy: a new era begins and all watches fail. */
  restore(copy: StoreCopy): void;
  createClient(hostId: string, eras: EraTracker): StoreClient;
}

interface Watch {
  readonly hostId: string;
  readonly era: number;
  from: number;
}

const DEFAULT_QUIET_MS = 4_000;

const reachableByAll: StoreModel['isUnreachable'] = () => false;

class Model implements StoreModel {
  readonly calls: StoreCalls = { reads: 0, writes: 0 };

  isUnreachable = reachableByAll;

  private entries = new Map<string, StoreEntry>();

  private leases = new Set<string>();

  private events: WatchEvent[] = [];

  private revision = 1;

  private era = 1;

  private readonly watches = new Map<Subscriber<WatchEvent>, Watch>();

  constructor(private readonly clock: Clock) {}

  put(key: string, value: object): void {
    this.write(key, JSON.stringify(value));
  }

  remove(key: string): void {
    if (this.entries.delete(key)) {
      this.revision += 1;
      this.record({ type: 'delete', key, revision: String(this.revision) });
    }
  }

  list(): readonly string[] {
    return [...this.entries.keys()];
  }

  listWatchers(): readonly string[] {
    return [...this.watches.values()].map(({ hostId }) => hostId);
  }

  copy(): StoreCopy {
    return { entries: new Map(this.entries), leases: new Set(this.leases), revision: this.revision };
  }

  restore({ entries, leases, revision }: StoreCopy): void {
    this.entries = new Map(entries);
    this.leases = new Set(leases);
    this.revision = revision;
    this.era += 1;
    this.events = [];
    [...this.watches.keys()].forEach((watch) => watch.error(new BackendError('unavailable', 'the store was restored')));
  }

  createClient(hostId: string, eras: EraTracker): StoreClient {
    const answer = async <Result>(kind: keyof StoreCalls, run: () => Result): Promise<Result> => {
      this.calls[kind] += 1;
      if (this.isUnreachable(hostId)) {
        throw new BackendError('unavailable', 'the store is unreachable');
      }
      eras.read(String(this.era));
      return run();
    };
    return {
      get: (key) => answer('reads', () => this.entries.get(key)),
      range: () =>
        answer('reads', () => ({
          entries: [...this.entries.values()],
          revision: String(this.revision),
          era: this.era,
        })),
      txn: (compares, success) =>
        answer('writes', () => {
          if (compares.some(({ key, revision }) => revision === '0' && this.entries.has(key))) {
            return { succeeded: false, revision: '0', gets: [] };
          }
          success.forEach((op) => {
            if (op.type === 'put') {
              this.write(op.key, op.value);
            } else if (op.type === 'delete') {
              this.remove(op.key);
            }
          });
          return { succeeded: true, revision: String(this.revision), gets: [] };
        }),
      watch: (_, fromRevision, limits) => this.watch({ hostId, eras }, fromRevision, limits),
      grantLease: (ttlMs) =>
        answer('writes', () => {
          const leaseId = `${this.era}-${this.leases.size}-${ttlMs}`;
          this.leases.add(leaseId);
          return leaseId;
        }),
      keepAlive: (leaseId) => answer('reads', () => (this.leases.has(leaseId) ? 10_000 : 0)),
      revokeLease: () => answer('writes', () => undefined),
      close: () => undefined,
    };
  }

  private watch(
    { hostId, eras }: { readonly hostId: string; readonly eras: EraTracker },
    fromRevision: string,
    { quietMs = DEFAULT_QUIET_MS, era = this.era }: { readonly quietMs?: number; readonly era?: number } = {},
  ): Observable<WatchEvent> {
    const { clock } = this;
    return new Observable((subscriber) => {
      this.watches.set(subscriber, { hostId, era, from: Number(fromRevision) });
      this.calls.reads += this.isUnreachable(hostId) ? 1 : 0;
      let timer: Timer | undefined;
      const poll = (): void => {
        if (this.isUnreachable(hostId)) {
          subscriber.error(new BackendError('unavailable', 'the store is unreachable'));
          return;
        }
        eras.read(String(this.era));
        if (era !== this.era) {
          subscriber.error(new BackendError('compacted', 'the watch is of an earlier era'));
          return;
        }
        this.deliver(subscriber);
        timer = clock.schedule(quietMs, poll);
      };
      timer = clock.schedule(0, poll);
      return () => {
        timer?.close();
        this.watches.delete(subscriber);
      };
    });
  }

  private write(key: string, value: string): void {
    this.revision += 1;
    const modRevision = String(this.revision);
    const entry = { key, value, createRevision: '1', modRevision };
    this.entries.set(key, entry);
    this.record({ type: 'put', entry });
  }

  private record(event: WatchEvent): void {
    this.events.push(event);
    [...this.watches.keys()].forEach((watch) => this.deliver(watch));
  }

  private deliver(subscriber: Subscriber<WatchEvent>): void {
    const watch = this.watches.get(subscriber);
    if (watch === undefined || this.isUnreachable(watch.hostId) || watch.era !== this.era) {
      return;
    }
    this.calls.reads += 1;
    const fresh = this.events.filter(
      (event) => Number(event.type === 'put' ? event.entry.modRevision : event.revision) >= watch.from,
    );
    watch.from = this.revision + 1;
    fresh.forEach((event) => subscriber.next(event));
    subscriber.next({ type: 'started', revision: String(this.revision) });
  }
}

/**
 * Creates an empty model of the store.
 *
 * @param clock - clock in virtual time
 * @returns the model
 */
export default function createStoreModel(clock: Clock): StoreModel {
  return new Model(clock);
}
