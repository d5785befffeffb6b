import type { Clock, Timer } from '@bergamotcove/clock';
import {
  createPoolBook,
  type LoadReport,
  type PoolView,
  type ProcessEnd,
  type ServerDescription,
  type ServerEventInput,
} from '@bergamotcove/decide';
import type { Logger } from '@bergamotcove/log';
import type { CatalogueFormat, ServerEntry, ServerSigns } from '../ports.js';
import createRestBook from './createRestBook.js';
import createDismissals from './createDismissals.js';

/** A backend server with its place. */
export interface KnownServer extends ServerEntry {
  readonly region: string;
}

/** A process of a server that gets no more work, because it has ended or another one took its place. */
export interface EndedProcess extends KnownServer {
  readonly end: ProcessEnd;
}

/** An entry of the store as another host passes it on. */
export interface StoredServer {
  readonly serverId: string;
  readonly text: string;
  readonly revision: number;
}

/** All entries as of a revision of the store. */
export interface ServerSnapshot {
  readonly servers: readonly StoredServer[];
  readonly revision: number;
}

/** Backend servers as this host sees them. */
export interface BackendDirectory {
  /** Whether the store does not answer, or has answered again for too short a time for lapsed entries to be back. */
  readonly storeLost: boolean;
  /** Latest revision of the store that this host knows of. */
  readonly revision: number;
  /** Servers of a pool that may get new work, those that rest included. */
  list(pool: string): readonly KnownServer[];
  /** Those of them in a region, or all when it has none. */
  listNear(pool: string, region: string): readonly KnownServer[];
  find(serverId: string): KnownServer | undefined;
  /** The server at an address, `IP:PORT`. */
  findAt(address: string): KnownServer | undefined;
  /** Servers of a pool that this host may send to now, with what it has learnt about them. */
  view(pool: string): PoolView;
  note(serverId: string, event: ServerEventInput): void;
  noteReport(serverId: string, report: LoadReport, hosts: number): void;
  /** The process at the server's address is another one. */
  noteGone(serverId: string): void;
  /**
   * Takes what a server said in an answer. A leaving process gets no new work from this host, whatever its entry says;
   * one that asks for a rest gets no requests from this host until its end.
   */
  noteSigns(serverId: string, signs: ServerSigns): void;
  /** End of the rest that a server asked for, monotonic time; in the past without one. */
  readRestEndMs(serverId: string): number;
  /** Time until the first server of a pool ends its rest; undefined unless all of them rest. */
  readReturnMs(pool: string): number | undefined;
  /** Servers of a pool that other hosts may still use, but not this one. */
  listShunned(pool: string): readonly string[];
  put(server: StoredServer): void;
  remove(serverId: string, revision: number): void;
  /** Everything that is not in the snapshot and older than it is gone. */
  replace(snapshot: ServerSnapshot): void;
  snapshot(): ServerSnapshot;
  /** Replaces the regions of failure domains. */
  setRegions(regions: Readonly<Record<string, string>>): void;
  /** The store stopped answering, or answers again. */
  noteStore(state: 'lost' | 'found'): void;
  onChange(run: () => void): void;
  onProcessEnded(run: (process: EndedProcess) => void): void;
  close(): void;
}

/** Options of {@link createBackendDirectory}. */
export interface BackendDirectoryOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly format: CatalogueFormat;
  readonly regions: Readonly<Record<string, string>>;
}

interface Entry {
  readonly stored: StoredServer;
  readonly server: KnownServer | undefined;
  /** Set while the entry is missing after an outage and may come back. */
  lapsedAtRevision?: number;
}

/** What is remembered of an entry that was removed. */
interface RemovedEntry {
  readonly revision: number;
  readonly startedAtMs: number | undefined;
}

/** After an outage of the store, live servers have registered again within this time. */
const RETURN_MS = 2_000;
/** Removed entries that are remembered; more than leave while an old state is on its way. */
const MAX_REMOVED = 2_000;

class Directory implements BackendDirectory {
  private readonly entries = new Map<string, Entry>();

  private readonly dismissals = createDismissals();

  /** Entries that were removed; an older state of them may still arrive from another host. */
  private readonly removed = new Map<string, RemovedEntry>();

  private readonly book = createPoolBook();

  private readonly rests;

  private readonly listeners: (() => void)[] = [];

  private readonly endListeners: ((process: EndedProcess) => void)[] = [];

  private pools = new Map<string, KnownServer[]>();

  private byAddress = new Map<string, KnownServer>();

  revision = 0;

  storeLost = false;

  private returnTimer: Timer | undefined;

  private regions: Readonly<Record<string, string>>;

  constructor(private readonly options: BackendDirectoryOptions) {
    this.regions = options.regions;
    this.rests = createRestBook(options.clock, () => this.tell());
  }

  list(pool: string): readonly KnownServer[] {
    return this.pools.get(pool) ?? [];
  }

  listNear(pool: string, region: string): readonly KnownServer[] {
    const all = this.list(pool);
    const near = all.filter((server) => server.region === region);
    return near.length > 0 ? near : all;
  }

  find(serverId: string): KnownServer | undefined {
    return this.entries.get(serverId)?.server;
  }

  findAt(address: string): KnownServer | undefined {
    return this.byAddress.get(address);
  }

  view(pool: string): PoolView {
    const awake = this.list(pool).filter(({ serverId }) => !this.rests.has(serverId));
    return this.book.view(pool, awake.map(Directory.describe), this.options.clock.monotonicMs());
  }

  note(serverId: string, event: ServerEventInput): void {
    this.book.note(serverId, event, this.options.clock.monotonicMs());
  }

  noteReport(serverId: string, report: LoadReport, hosts: number): void {
    this.book.noteReport(serverId, report, { hosts, nowMs: this.options.clock.monotonicMs() });
  }

  noteGone(serverId: string): void {
    const server = this.find(serverId);
    if (server !== undefined && this.dismiss(server)) {
      this.tellEnd(server, 'replaced');
      this.options.logger.event('serverGone', { serverId, pool: server.pool, reason: 'other process at its address' });
    }
  }

  noteSigns(serverId: string, { leaving, restMs }: ServerSigns): void {
    const server = this.find(serverId);
    if (server === undefined) {
      const startedAtMs = this.removed.get(serverId)?.startedAtMs;
      if (leaving && startedAtMs !== undefined) {
        // Its entry may come back after an outage of the store.
        this.dismissals.add({ serverId, startedAtMs });
      }
      return;
    }
    const { pool, state } = server;
    if (leaving && this.dismiss(server)) {
      this.options.logger.event('serverLeaving', { serverId, pool, listedAs: state, revision: this.revision });
    }
    if (restMs !== undefined) {
      this.rests.add(serverId, restMs);
      this.options.logger.event('serverRests', { serverId, pool, restMs: Math.round(restMs) });
      this.tell();
    }
  }

  readRestEndMs(serverId: string): number {
    return this.rests.endMs(serverId);
  }

  readReturnMs(pool: string): number | undefined {
    const servers = this.list(pool);
    return servers.length > 0 && servers.every(({ serverId }) => this.rests.has(serverId))
      ? Math.min(...servers.map(({ serverId }) => this.rests.endMs(serverId))) - this.options.clock.monotonicMs()
      : undefined;
  }

  listShunned(pool: string): readonly string[] {
    return [...this.entries.values()].flatMap(({ server }) =>
      server?.pool === pool &&
      server.state === 'live' &&
      (this.dismissals.has(server) || this.rests.has(server.serverId))
        ? [server.serverId]
        : [],
    );
  }

  put(stored: StoredServer): void {
    this.apply(stored);
    this.arrange();
  }

  remove(serverId: string, revision: number): void {
    this.drop(serverId, revision);
    this.arrange();
  }

  replace(snapshot: ServerSnapshot): void {
    const listed = new Set(snapshot.servers.map(({ serverId }) => serverId));
    snapshot.servers.forEach((stored) => this.apply(stored));
    [...this.entries.keys()]
      .filter((serverId) => !listed.has(serverId))
      .forEach((serverId) => this.drop(serverId, snapshot.revision));
    this.revision = Math.max(this.revision, snapshot.revision);
    this.arrange();
  }

  snapshot(): ServerSnapshot {
    const servers = [...this.entries.values()].filter(({ lapsedAtRevision }) => lapsedAtRevision === undefined);
    return { servers: servers.map(({ stored }) => stored), revision: this.revision };
  }

  setRegions(regions: Readonly<Record<string, string>>): void {
    this.regions = regions;
    this.entries.forEach((entry, serverId) =>
      this.entries.set(serverId, { ...entry, server: this.read(entry.stored) }),
    );
    this.arrange();
  }

  noteStore(state: 'lost' | 'found'): void {
    this.returnTimer?.close();
    if (state === 'lost') {
      this.storeLost = true;
      return;
    }
    this.returnTimer = this.options.clock.schedule(RETURN_MS, () => {
      this.storeLost = false;
      [...this.entries.values()]
        .filter(({ lapsedAtRevision }) => lapsedAtRevision !== undefined)
        .forEach(({ stored, lapsedAtRevision }) => this.forget(stored.serverId, lapsedAtRevision ?? this.revision));
      this.arrange();
    });
  }

  onChange(run: () => void): void {
    this.listeners.push(run);
  }

  onProcessEnded(run: (process: EndedProcess) => void): void {
    this.endListeners.push(run);
  }

  close(): void {
    this.returnTimer?.close();
    this.rests.close();
  }

  /** Keeps new work from a process; false when it gets none already. */
  private dismiss(server: KnownServer): boolean {
    const isNew = this.dismissals.add(server);
    if (isNew) {
      this.arrange();
    }
    return isNew;
  }

  private apply(stored: StoredServer): void {
    const known = this.entries.get(stored.serverId);
    this.revision = Math.max(this.revision, stored.revision);
    const removedAt = this.removed.get(stored.serverId)?.revision ?? 0;
    const knownRevision = Math.max(known?.stored.revision ?? 0, known?.lapsedAtRevision ?? 0, removedAt);
    if (stored.revision <= knownRevision) {
      return;
    }
    const server = this.read(stored);
    if (server !== undefined && known?.server !== undefined && known.server.startedAtMs !== server.startedAtMs) {
      this.book.retain(new Set([...this.entries.keys()].filter((serverId) => serverId !== stored.serverId)));
      this.rests.delete(stored.serverId);
      this.tellEnd(known.server, 'replaced');
    }
    this.entries.set(stored.serverId, { stored, server });
    this.log(stored, server);
  }

  /** The server of an entry; undefined when it names none, or a failure domain that is not known. */
  private read({ serverId, text }: StoredServer): KnownServer | undefined {
    const entry = this.options.format.readServer(serverId, text);
    const region = entry === undefined ? undefined : this.regions[entry.failureDomain];
    return entry === undefined || region === undefined ? undefined : { ...entry, region };
  }

  private log(stored: StoredServer, server: KnownServer | undefined): void {
    const { serverId, revision } = stored;
    if (server === undefined) {
      this.options.logger.event('serverEntryIgnored', { serverId, revision });
      return;
    }
    const { pool, failureDomain, state, address, port } = server;
    this.options.logger.event('serverListed', { serverId, pool, failureDomain, state, address, port, revision });
  }

  private drop(serverId: string, revision: number): void {
    const known = this.entries.get(serverId);
    this.revision = Math.max(this.revision, revision);
    if (known === undefined || revision < known.stored.revision) {
      return;
    }
    // Entries lapse while the store is away, also those of servers that live.
    if (this.storeLost && known.server?.state === 'live') {
      known.lapsedAtRevision ??= revision;
      return;
    }
    this.forget(serverId, revision);
  }

  private forget(serverId: string, revision: number): void {
    const server = this.find(serverId);
    this.removed.set(serverId, { revision, startedAtMs: server?.startedAtMs });
    if (this.removed.size > MAX_REMOVED) {
      this.removed.delete(this.removed.keys().next().value as string);
    }
    this.entries.delete(serverId);
    this.options.logger.event('serverGone', { serverId, pool: server?.pool, reason: 'entry removed', revision });
    if (server !== undefined) {
      const hasLeft = server.state === 'leaving' || this.dismissals.has(server);
      this.tellEnd(server, hasLeft ? 'left' : 'removed');
    }
  }

  private arrange(): void {
    const pools = new Map<string, KnownServer[]>();
    const byAddress = new Map<string, KnownServer>();
    this.entries.forEach(({ server }) => {
      if (server !== undefined) {
        byAddress.set(`${server.address}:${server.port}`, server);
      }
      if (server?.state === 'live' && !this.dismissals.has(server)) {
        pools.set(server.pool, [...(pools.get(server.pool) ?? []), server]);
      }
    });
    this.pools = pools;
    this.byAddress = byAddress;
    this.book.retain(new Set(this.entries.keys()));
    this.tell();
  }

  private tellEnd(server: KnownServer, end: ProcessEnd): void {
    this.endListeners.forEach((run) => run({ ...server, end }));
  }

  private tell(): void {
    this.listeners.forEach((run) => run());
  }

  private static describe(server: KnownServer): ServerDescription {
    return server;
  }
}

/**
 * Keeps the backend servers of the store's catalogue.
 *
 * @param options - format of entries and the regions of failure domains
 * @returns the directory; close it to stop its timer
 */
export default function createBackendDirectory(options: BackendDirectoryOptions): BackendDirectory {
  return new Directory(options);
}
