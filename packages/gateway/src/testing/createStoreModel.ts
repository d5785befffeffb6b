import { Observable, type Subscriber } from 'rxjs';
import {
  BackendError,
  type EraTracker,
  type StoreClient,
  type StoreEntry,
  type WatchEvent,
} from '@bergamotcove/backends';
import type { Clock, Timer } from '@bergamotcove/clock';

/** Calls that the store has answered or refused. */
export interface StoreCalls {
  /** Reads and watches. */
  reads: number;
  writes: number;
}

/** State of the store at one moment. */
export interface StoreCopy {
  readonly entries: ReadonlyMap<string, StoreEntry>;
  readonly leases: ReadonlySet<string>;
  readonly revision: number;
}

/** A store in virtual time, whose calls are counted, and that some hosts may not reach. */
export interface StoreModel {
  readonly calls: StoreCalls;
  isCut: (hostId: string) => boolean;
  put(key: string, value: object): void;
  remove(key: string): void;
  list(): readonly string[];
  /** Hosts with a watch. */
  watching(): readonly string[];
  copy(): StoreCopy;
  /** Comes back from an older copy. */
  restore(copy: StoreCopy): void;
  clientOf(hostId: string, eras: EraTracker): StoreClient;
}

interface Watch {
  readonly hostId: string;
  readonly era: number;
  from: number;
}

const USUAL_QUIET_MS = 4_000;

const reachesAll: StoreModel['isCut'] = () => false;

class Model implements StoreModel {
  readonly calls: StoreCalls = { reads: 0, writes: 0 };

  isCut = reachesAll;

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

  watching(): readonly string[] {
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
    [...this.watches.keys()].forEach((watch) => watch.error(new BackendError('unavailable', 'the store went away')));
  }

  clientOf(hostId: string, eras: EraTracker): StoreClient {
    const answer = async <Result>(kind: keyof StoreCalls, run: () => Result): Promise<Result> => {
      this.calls[kind] += 1;
      if (this.isCut(hostId)) {
        throw new BackendError('unavailable', 'cut');
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
    { quietMs = USUAL_QUIET_MS, era = this.era }: { readonly quietMs?: number; readonly era?: number } = {},
  ): Observable<WatchEvent> {
    const { clock } = this;
    return new Observable((subscriber) => {
      this.watches.set(subscriber, { hostId, era, from: Number(fromRevision) });
      this.calls.reads += this.isCut(hostId) ? 1 : 0;
      let timer: Timer | undefined;
      const poll = (): void => {
        if (this.isCut(hostId)) {
          subscriber.error(new BackendError('unavailable', 'cut'));
          return;
        }
        eras.read(String(this.era));
        if (era !== this.era) {
          subscriber.error(new BackendError('compacted', 'another era'));
          return;
        }
        this.tell(subscriber);
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
    [...this.watches.keys()].forEach((watch) => this.tell(watch));
  }

  private tell(subscriber: Subscriber<WatchEvent>): void {
    const watch = this.watches.get(subscriber);
    if (watch === undefined || this.isCut(watch.hostId) || watch.era !== this.era) {
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
 * Creates a model of the store for tests of fleets.
 *
 * @param clock - virtual time
 * @returns the model
 */
export default function createStoreModel(clock: Clock): StoreModel {
  return new Model(clock);
}
