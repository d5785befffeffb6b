import { createLeaseHolder, type EraTracker, type LeaseHolder, type StoreClient } from '@bergamotcove/backends';
import type { Clock, Timer } from '@bergamotcove/clock';
import { rankByCapacity } from '@bergamotcove/decide';
import type { Logger } from '@bergamotcove/log';
import type { Target } from '@bergamotcove/transport';

/** A host of the system. */
export interface HostEntry {
  readonly hostId: string;
  readonly target: Target;
  readonly failureDomain: string;
  readonly region: string;
  /** What the host can carry beside its own requests, in cores. */
  readonly capacity: number;
  /** Distinguishes the starts of a host. */
  readonly startId: string;
}

/** A host as it stands in the store. */
export interface HostRecord {
  readonly key: string;
  readonly text: string;
}

/** Hosts whose keys were written, and keys that are gone. */
export interface HostChanges {
  readonly put?: readonly HostRecord[];
  readonly removed?: readonly string[];
}

/** The hosts of the system as this one sees them. */
export interface HostRegistry {
  readonly self: HostEntry;
  /** Writes the own key and keeps it. */
  start(): void;
  /** All listed hosts, this one included until it leaves. */
  list(): readonly HostEntry[];
  /** Regions with listed hosts. */
  regions(): readonly string[];
  /** Hosts in the order in which they own a duty of a region, by default the own one; silent ones are left out. */
  rankOwners(duty: string, region?: string): readonly HostEntry[];
  /** A host has given its duties away; for a moment it is not asked, until the list shows why. */
  noteMoved(hostId: string): void;
  /** A host did not answer; it owns no duty for a while. */
  noteSilent(hostId: string): void;
  /** Takes what has changed since; listeners are told once. */
  update(changes: HostChanges): void;
  /**
   * These are all. The store may have forgotten hosts that live: with `keepsMissing` those that are not among them stay
   * until they had time to write themselves again.
   */
  replace(entries: readonly HostRecord[], options?: { readonly keepsMissing: boolean }): void;
  /** The listed hosts, for others. */
  snapshot(): readonly HostRecord[];
  /** Removes the own key, so that other hosts stop to use this one. */
  leave(): Promise<void>;
  onChange(run: () => void): void;
  /** The store did not take or answer a call. */
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
 * A host that lost its power or its path to the store is dropped from the list after this time. The list tells which
 * hosts there are; whether one answers is learnt from calls to it.
 */
const LEASE_TTL_MS = 10_000;
/** Time for which a host that did not answer owns no duty; doubles with each call in a row that it does not answer. */
const FIRST_SILENT_MS = 2_000;
const MAX_SILENT_MS = 8_000;
/** The store shows within this time that a host has left or came back. */
const MOVED_MS = 300;

/** Hosts that the store has forgotten write themselves again within this time. */
const REWRITE_MS = 4_000;

/** Capacity of hosts that do not tell theirs. */
const DEFAULT_CAPACITY = 0.5;

const parseEntry = (text: string): HostEntry | undefined => {
  try {
    const entry = JSON.parse(text) as Omit<HostEntry, 'capacity'> & Partial<HostEntry>;
    return { ...entry, capacity: entry.capacity ?? DEFAULT_CAPACITY };
  } catch {
    return undefined;
  }
};

class Registry implements HostRegistry {
  readonly self: HostEntry;

  private readonly entries = new Map<string, HostEntry>();

  private readonly silentUntilMs = new Map<string, number>();

  /** Times in a row that a host was found silent. */
  private readonly silences = new Map<string, number>();

  /** Listed hosts, until the list changes. */
  private listed: readonly HostEntry[] | undefined;

  /** Hosts of a region in the order of a duty, silent ones included, until the list changes. */
  private readonly ranked = new Map<string, readonly HostEntry[]>();

  private readonly listeners: (() => void)[] = [];

  private readonly failureListeners: (() => void)[] = [];

  private readonly lease: LeaseHolder;

  private leaving = false;

  /** Keys of hosts that the store has forgotten, and that are listed until they had time to write themselves again. */
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

  /** The order of hosts does not depend on which others are silent. */
  private rankAll(duty: string, region: string): readonly HostEntry[] {
    const key = JSON.stringify([duty, region]);
    const known = this.ranked.get(key);
    if (known !== undefined) {
      return known;
    }
    const near = this.list().filter((host) => host.region === region);
    const ranked = rankByCapacity(near, duty);
    this.ranked.set(key, ranked);
    return ranked;
  }

  noteMoved(hostId: string): void {
    const untilMs = this.options.clock.monotonicMs() + MOVED_MS;
    this.silentUntilMs.set(hostId, Math.max(untilMs, this.silentUntilMs.get(hostId) ?? 0));
  }

  noteSilent(hostId: string): void {
    const nowMs = this.options.clock.monotonicMs();
    const untilMs = this.silentUntilMs.get(hostId) ?? 0;
    if (nowMs >= untilMs) {
      const isRepeated = nowMs - untilMs < MAX_SILENT_MS;
      const count = isRepeated ? (this.silences.get(hostId) ?? 0) : 0;
      this.silences.set(hostId, count + 1);
      this.silentUntilMs.set(hostId, nowMs + Math.min(MAX_SILENT_MS, FIRST_SILENT_MS * 2 ** count));
    }
    this.options.logger.event('peerSilent', { peer: hostId });
  }

  update({ put = [], removed = [] }: HostChanges): void {
    const isChanged = [...put.map((record) => this.set(record)), ...removed.map((key) => this.drop(key))];
    if (isChanged.includes(true)) {
      this.changed();
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
    this.silences.delete(entry.hostId);
    this.options.logger.event('hostListed', { peer: entry.hostId, failureDomain: entry.failureDomain });
    return true;
  }

  private drop(key: string): boolean {
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
      this.missingTimer = this.options.clock.schedule(REWRITE_MS, () => this.dropMissing());
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
    this.changed();
  }

  leave(): Promise<void> {
    this.leaving = true;
    this.missingTimer?.close();
    this.changed();
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

  private changed(): void {
    this.listed = undefined;
    this.ranked.clear();
    this.listeners.forEach((run) => run());
  }
}

/**
 * Keeps the list of the system's hosts: one key each in the store, under a lease.
 *
 * @param options - store, prefix of the keys and this host
 * @returns the registry
 */
export default function createHostRegistry(options: HostRegistryOptions): HostRegistry {
  return new Registry(options);
}
