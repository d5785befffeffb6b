import { createLeaseHolder, type EraTracker, type LeaseHolder, type StoreClient } from '@bergamotcove/backends';
import type { Clock, Timer } from '@bergamotcove/clock';
import { rankByCapacity } from '@bergamotcove/decide';
import type { Logger } from '@bergamotcove/log';
import type { Target } from '@bergamotcove/transport';
import matchesShape, { type Shape } from './matchesShape.js';

/** A host of the system. */
export interface HostEntry {
  readonly hostId: string;
  readonly target: Target;
  readonly failureDomain: string;
  readonly region: string;
  /** Capacity of the host for duties beside its own requests, in cores. */
  readonly capacity: number;
  /** Identifies one start of the host. */
  readonly startId: string;
}

/** Entry of a host in the store. */
export interface HostRecord {
  readonly key: string;
  readonly text: string;
}

/** Entries that were written, and keys that were removed. */
export interface HostChanges {
  readonly put?: readonly HostRecord[];
  readonly removed?: readonly string[];
}

/** Hosts of the system as this host knows them. */
export interface HostRegistry {
  readonly self: HostEntry;
  /** Writes the entry of this host and keeps its lease alive. */
  start(): void;
  /** All listed hosts, this one included until it leaves. */
  list(): readonly HostEntry[];
  /** Regions with listed hosts. */
  regions(): readonly string[];
  /**
   * Hosts of a region, by default the own one, in the order in which they own a duty; silent hosts are omitted.
   */
  rankOwners(duty: string, region?: string): readonly HostEntry[];
  /** Records that a host has handed over its duties: it owns none for a short time, until the list shows the cause. */
  noteMoved(hostId: string): void;
  /** Records that a host did not answer: it owns no duty for a time that doubles with each failure in a row. */
  noteSilent(hostId: string): void;
  /** Applies changes; the listeners are called once for all of them. */
  update(changes: HostChanges): void;
  /**
   * Applies a snapshot of all entries. After a restore the store may lack hosts that are alive: with `keepsMissing`
   * hosts that the snapshot lacks stay listed until they have had time to register again.
   */
  replace(entries: readonly HostRecord[], options?: { readonly keepsMissing: boolean }): void;
  /** Entries of the listed hosts, for other hosts. */
  snapshot(): readonly HostRecord[];
  /** Removes the entry of this host, so that other hosts stop using it. */
  leave(): Promise<void>;
  onChange(run: () => void): void;
  /** Calls a listener when the store refuses or does not answer a call of the lease. */
  onStoreFailed(run: () => void): void;
}

/** Options of {@link createHostRegistry}. */
export interface HostRegistryOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly store: StoreClient;
  readonly eras: EraTracker;
  readonly prefix: string;
  readonly self: HostEntry;
}

/**
 * A host that has crashed or cannot reach the store is removed from the list after this time. The list only says which
 * hosts exist; whether a host answers is detected by calls to it.
 */
const LEASE_TTL_MS = 10_000;
/** Time for which a host that did not answer owns no duty; it doubles with each further failure in a row. */
const INITIAL_SILENT_MS = 2_000;
const MAX_SILENT_MS = 8_000;
/** Time for which a host that handed over its duties owns none; the store shows by then that it left or came back. */
const MOVED_PAUSE_MS = 300;

/** Hosts whose entries the store has lost register again within this time. */
const REREGISTER_MS = 4_000;

/** Capacity of hosts whose entries do not state it. */
const DEFAULT_CAPACITY = 0.5;

const ENTRY: Shape = {
  hostId: 'string',
  target: { address: 'string', port: 'number' },
  failureDomain: 'string',
  region: 'string',
  startId: 'string',
  'capacity?': 'number',
};
const MAX_PORT = 65_535;

/** Parses the entry of a host; undefined when it names none that can be called. */
const parseEntry = (text: string): HostEntry | undefined => {
  try {
    const parsed: unknown = JSON.parse(text);
    if (!matchesShape(parsed, ENTRY)) {
      return undefined;
    }
    const entry = parsed as Omit<HostEntry, 'capacity'> & Partial<HostEntry>;
    const { port } = entry.target;
    const isCallable = Number.isInteger(port) && port > 0 && port <= MAX_PORT;
    return isCallable ? { ...entry, capacity: entry.capacity ?? DEFAULT_CAPACITY } : undefined;
  } catch {
    return undefined;
  }
};

class Registry implements HostRegistry {
  readonly self: HostEntry;

  private readonly entries = new Map<string, HostEntry>();

  private readonly silentUntilMs = new Map<string, number>();

  /** Number of failures in a row, by host. */
  private readonly silentCounts = new Map<string, number>();

  /** Cached list of hosts; undefined after a change. */
  private listed: readonly HostEntry[] | undefined;

  /** Cached ranks of the hosts of a region for a duty, including silent hosts; cleared by a change of the list. */
  private readonly ranked = new Map<string, readonly HostEntry[]>();

  private readonly listeners: (() => void)[] = [];

  private readonly failureListeners: (() => void)[] = [];

  private readonly lease: LeaseHolder;

  private leaving = false;

  /** Keys that the store has lost; their hosts stay listed until they have had time to register again. */
  private readonly missing = new Set<string>();

  private missingTimer: Timer | undefined;

  constructor(private readonly options: HostRegistryOptions) {
    const { clock, logger, store, eras, self, prefix } = options;
    this.self = self;
    this.lease = createLeaseHolder(store, {
      clock,
      random: Math.random,
      eras,
      ttlMs: LEASE_TTL_MS,
      key: { key: `${prefix}${self.hostId}/${self.startId}`, value: JSON.stringify(self), exclusive: true },
      onFailed: () => this.failureListeners.forEach((run) => run()),
      onLost: () => logger.event('hostLeaseLost', {}),
    });
  }

  start(): void {
    this.lease.start();
  }

  list(): readonly HostEntry[] {
    this.listed ??= this.readList();
    return this.listed;
  }

  private readList(): readonly HostEntry[] {
    const byId = new Map([...this.entries.values()].map((entry) => [entry.hostId, entry]));
    if (this.leaving) {
      byId.delete(this.self.hostId);
    } else {
      byId.set(this.self.hostId, this.self);
    }
    return [...byId.values()];
  }

  regions(): readonly string[] {
    return [...new Set(this.list().map(({ region }) => region))];
  }

  rankOwners(duty: string, region: string = this.self.region): readonly HostEntry[] {
    const nowMs = this.options.clock.monotonicMs();
    return this.rankAll(duty, region).filter(({ hostId }) => (this.silentUntilMs.get(hostId) ?? 0) <= nowMs);
  }

  /** Ranks all hosts of a region for a duty; the order does not depend on which of them are silent. */
  private rankAll(duty: string, region: string): readonly HostEntry[] {
    const key = JSON.stringify([duty, region]);
    const known = this.ranked.get(key);
    if (known !== undefined) {
      return known;
    }
    const regionHosts = this.list().filter((host) => host.region === region);
    const ranked = rankByCapacity(regionHosts, duty);
    this.ranked.set(key, ranked);
    return ranked;
  }

  noteMoved(hostId: string): void {
    const untilMs = this.options.clock.monotonicMs() + MOVED_PAUSE_MS;
    this.silentUntilMs.set(hostId, Math.max(untilMs, this.silentUntilMs.get(hostId) ?? 0));
  }

  noteSilent(hostId: string): void {
    const nowMs = this.options.clock.monotonicMs();
    const untilMs = this.silentUntilMs.get(hostId) ?? 0;
    if (nowMs >= untilMs) {
      const isRepeated = nowMs - untilMs < MAX_SILENT_MS;
      const count = isRepeated ? (this.silentCounts.get(hostId) ?? 0) : 0;
      this.silentCounts.set(hostId, count + 1);
      this.silentUntilMs.set(hostId, nowMs + Math.min(MAX_SILENT_MS, INITIAL_SILENT_MS * 2 ** count));
    }
    this.options.logger.event('peerSilent', { peer: hostId });
  }

  update({ put = [], removed = [] }: HostChanges): void {
    const results = [...put.map((record) => this.set(record)), ...removed.map((key) => this.remove(key))];
    if (results.includes(true)) {
      this.notifyChanged();
    }
  }

  private set({ key, text }: HostRecord): boolean {
    const entry = parseEntry(text);
    if (entry === undefined) {
      return false;
    }
    this.entries.set(key, entry);
    this.missing.delete(key);
    this.silentUntilMs.delete(entry.hostId);
    this.silentCounts.delete(entry.hostId);
    this.options.logger.event('hostListed', { peer: entry.hostId, failureDomain: entry.failureDomain });
    return true;
  }

  private remove(key: string): boolean {
    const entry = this.entries.get(key);
    this.missing.delete(key);
    if (entry === undefined) {
      return false;
    }
    this.entries.delete(key);
    this.options.logger.event('hostDropped', { peer: entry.hostId });
    return true;
  }

  snapshot(): readonly HostRecord[] {
    return [...this.entries].map(([key, entry]) => ({ key, text: JSON.stringify(entry) }));
  }

  replace(all: readonly HostRecord[], { keepsMissing } = { keepsMissing: false }): void {
    const listed = new Set(all.map(({ key }) => key));
    if (keepsMissing) {
      [...this.entries.keys()].filter((key) => !listed.has(key)).forEach((key) => this.missing.add(key));
      this.missingTimer?.close();
      this.missingTimer = this.options.clock.schedule(REREGISTER_MS, () => this.dropMissing());
    }
    listed.forEach((key) => this.missing.delete(key));
    [...this.entries.keys()]
      .filter((key) => !listed.has(key) && !this.missing.has(key))
      .forEach((key) => this.entries.delete(key));
    all.forEach(({ key, text }) => {
      const entry = parseEntry(text);
      if (entry !== undefined) {
        this.entries.set(key, entry);
      }
    });
    this.notifyChanged();
  }

  leave(): Promise<void> {
    this.leaving = true;
    this.missingTimer?.close();
    this.notifyChanged();
    return this.lease.close();
  }

  onChange(run: () => void): void {
    this.listeners.push(run);
  }

  onStoreFailed(run: () => void): void {
    this.failureListeners.push(run);
  }

  private dropMissing(): void {
    this.update({ removed: [...this.missing] });
  }

  private notifyChanged(): void {
    this.listed = undefined;
    this.ranked.clear();
    this.listeners.forEach((run) => run());
  }
}

/**
 * Creates the registry of the system's hosts: one key for each host in the store, under a lease.
 *
 * @param options - store, prefix of the keys and this host
 * @returns the registry
 */
export default function createHostRegistry(options: HostRegistryOptions): HostRegistry {
  return new Registry(options);
}
