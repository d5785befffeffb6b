import type { Clock, Timer } from '@bergamotcove/clock';
import {
  createPoolTracker,
  type LoadReport,
  type PoolView,
  type ProcessEnd,
  type ServerDescription,
  type ServerEventInput,
} from '@bergamotcove/decide';
import type { Logger } from '@bergamotcove/log';
import type { CatalogueFormat, ServerNotice } from '../ports.js';
import type { BackendDirectory, EndedProcess, KnownServer, ServerSnapshot, StoredServer } from './BackendDirectory.js';
import type { StorePosition } from './comparePositions.js';
import type { Evacuations } from './createEvacuations.js';
import createExcludedProcesses from './createExcludedProcesses.js';
import createRemovedEntries from './createRemovedEntries.js';
import createServerBackoffs from './createServerBackoffs.js';
import indexServers from './indexServers.js';
import readKnownServer from './readKnownServer.js';

/** Options of {@link createBackendDirectory}. */
export interface BackendDirectoryOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly format: CatalogueFormat;
  readonly regions: Readonly<Record<string, string>>;
  readonly evacuations: Pick<Evacuations, 'has' | 'onChange'>;
}

interface Entry {
  readonly stored: StoredServer;
  readonly server: KnownServer | undefined;
  /** Revision at which the entry went missing in an outage; set while the server may still register again. */
  lapsedAtRevision?: number;
}

/** Back-off of a server that sent bytes that lead to no answer. */
const FLOODING_BACKOFF_MS = 2_000;
/** Live servers register again within this time after an outage of the store. */
const REREGISTER_MS = 2_000;
/** Retry-After of requests to a pool all of whose servers are in evacuated failure domains. */
const EVACUATED_RETRY_MS = 1_000;

class Directory implements BackendDirectory {
  private readonly entries = new Map<string, Entry>();

  private readonly excluded = createExcludedProcesses();

  private readonly removed = createRemovedEntries();

  private readonly poolTracker = createPoolTracker();

  private readonly backoffs;

  private readonly listeners: (() => void)[] = [];

  private readonly listedListeners: ((server: KnownServer) => void)[] = [];

  private readonly endListeners: ((process: EndedProcess) => void)[] = [];

  private index = indexServers([], { isExcluded: () => false, isEvacuated: () => false });

  position: StorePosition = { era: 0, revision: 0 };

  storeLost = false;

  private reregisterTimer: Timer | undefined;

  private regions: Readonly<Record<string, string>>;

  constructor(private readonly options: BackendDirectoryOptions) {
    this.regions = options.regions;
    this.backoffs = createServerBackoffs(options.clock, () => this.notifyListeners());
    options.evacuations.onChange(() => this.rebuildIndexes());
  }

  list(pool: string): readonly KnownServer[] {
    return this.index.pools.get(pool) ?? [];
  }

  listNear(pool: string, region: string): readonly KnownServer[] {
    const all = this.list(pool);
    const near = all.filter((server) => server.region === region);
    return near.length > 0 ? near : all;
  }

  isEvacuated(pool: string): boolean {
    return this.index.evacuatedPools.has(pool) && this.list(pool).length === 0;
  }

  find(serverId: string): KnownServer | undefined {
    return this.entries.get(serverId)?.server;
  }

  findAt(address: string): KnownServer | undefined {
    return this.index.byAddress.get(address);
  }

  view(pool: string): PoolView {
    const available = this.list(pool).filter(({ serverId }) => !this.backoffs.has(serverId));
    return this.poolTracker.view(pool, available.map(Directory.describe), this.options.clock.monotonicMs());
  }

  note(serverId: string, event: ServerEventInput): void {
    this.poolTracker.note(serverId, event, this.options.clock.monotonicMs());
  }

  noteReport(serverId: string, report: LoadReport, hosts: number): void {
    this.poolTracker.noteReport(serverId, report, { hosts, nowMs: this.options.clock.monotonicMs() });
  }

  noteReplaced(serverId: string): void {
    const server = this.find(serverId);
    if (server !== undefined && this.exclude(server)) {
      this.notifyEnded(server, 'replaced');
      this.options.logger.event('serverGone', { serverId, pool: server.pool, reason: 'other process at its address' });
    }
  }

  applyNotice(serverId: string, { leaving, restMs }: Omit<ServerNotice, 'rateLimit'>): void {
    const server = this.find(serverId);
    if (server === undefined) {
      const startedAtMs = this.removed.find(serverId)?.startedAtMs;
      if (leaving && startedAtMs !== undefined) {
        // The server may write its entry again after an outage of the store.
        this.excluded.add({ serverId, startedAtMs });
      }
      return;
    }
    const { pool, state } = server;
    if (leaving && this.exclude(server)) {
      this.options.logger.event('serverLeaving', { serverId, pool, listedAs: state, revision: this.position.revision });
    }
    if (restMs !== undefined) {
      this.backoffs.add(serverId, restMs);
      this.options.logger.event('serverRests', { serverId, pool, restMs: Math.round(restMs) });
      this.notifyListeners();
    }
  }

  suspendFlooding(serverId: string): void {
    const server = this.find(serverId);
    if (server !== undefined && !this.backoffs.has(serverId)) {
      this.options.logger.event('serverSuspended', { serverId, pool: server.pool, forMs: FLOODING_BACKOFF_MS });
      this.backoffs.add(serverId, FLOODING_BACKOFF_MS);
      this.notifyListeners();
    }
  }

  readBackoffEndMs(serverId: string): number {
    return this.backoffs.endMs(serverId);
  }

  readBackoffRemainingMs(pool: string): number | undefined {
    const servers = this.list(pool);
    if (this.isEvacuated(pool)) {
      return EVACUATED_RETRY_MS;
    }
    return servers.length > 0 && servers.every(({ serverId }) => this.backoffs.has(serverId))
      ? Math.min(...servers.map(({ serverId }) => this.backoffs.endMs(serverId))) - this.options.clock.monotonicMs()
      : undefined;
  }

  listExcluded(pool: string): readonly string[] {
    return [...this.entries.values()].flatMap(({ server }) =>
      server?.pool === pool &&
      server.state === 'live' &&
      (this.excluded.has(server) || this.backoffs.has(server.serverId))
        ? [server.serverId]
        : [],
    );
  }

  put(stored: StoredServer, era = this.position.era): void {
    if (era === this.position.era) {
      this.apply(stored);
      this.rebuildIndexes();
    }
  }

  remove(serverId: string, { era, revision }: StorePosition): void {
    if (era === this.position.era) {
      this.markRemoved(serverId, revision);
      this.rebuildIndexes();
    }
  }

  replace({ servers, revision, era = this.position.era }: ServerSnapshot): void {
    if (era < this.position.era) {
      return;
    }
    if (era > this.position.era) {
      this.beginEra(era);
    }
    const listed = new Set(servers.map(({ serverId }) => serverId));
    servers.forEach((stored) => this.apply(stored));
    [...this.entries.keys()]
      .filter((serverId) => !listed.has(serverId))
      .forEach((serverId) => this.markRemoved(serverId, revision));
    this.advance(revision);
    this.rebuildIndexes();
  }

  snapshot(): ServerSnapshot {
    const servers = [...this.entries.values()].filter(({ lapsedAtRevision }) => lapsedAtRevision === undefined);
    return { servers: servers.map(({ stored }) => stored), ...this.position };
  }

  setRegions(regions: Readonly<Record<string, string>>): void {
    this.regions = regions;
    this.entries.forEach((entry, serverId) =>
      this.entries.set(serverId, { ...entry, server: readKnownServer(entry.stored, this.regions, this.options) }),
    );
    this.rebuildIndexes();
  }

  noteStore(state: 'lost' | 'found'): void {
    this.reregisterTimer?.close();
    if (state === 'lost') {
      this.storeLost = true;
      return;
    }
    this.reregisterTimer = this.options.clock.schedule(REREGISTER_MS, () => {
      this.storeLost = false;
      [...this.entries.values()]
        .filter(({ lapsedAtRevision }) => lapsedAtRevision !== undefined)
        .forEach(({ stored, lapsedAtRevision }) =>
          this.deleteEntry(stored.serverId, lapsedAtRevision ?? this.position.revision),
        );
      this.rebuildIndexes();
    });
  }

  onChange(run: () => void): void {
    this.listeners.push(run);
  }

  onListed(run: (server: KnownServer) => void): void {
    this.listedListeners.push(run);
  }

  onProcessEnded(run: (process: EndedProcess) => void): void {
    this.endListeners.push(run);
  }

  close(): void {
    this.reregisterTimer?.close();
    this.backoffs.close();
  }

  /** Excludes a process from new work; false when it was excluded before. */
  private exclude(server: KnownServer): boolean {
    const isNew = this.excluded.add(server);
    if (isNew) {
      this.rebuildIndexes();
    }
    return isNew;
  }

  /**
   * Resets the revisions for a new era. Processes that are leaving stay excluded, whatever the restored copy of the
   * store says of them. Servers that the copy lacks stay listed until they have had time to register again.
   */
  private beginEra(era: number): void {
    const isFirst = this.position.revision === 0;
    this.entries.forEach((entry, serverId) => {
      const { server, stored } = entry;
      if (server?.state === 'leaving') {
        this.excluded.add(server);
      }
      this.entries.set(serverId, { server, stored: { ...stored, revision: 0 } });
    });
    this.position = { era, revision: 0 };
    if (!isFirst) {
      this.noteStore('lost');
      this.noteStore('found');
    }
  }

  private advance(revision: number): void {
    const { era, revision: known } = this.position;
    this.position = { era, revision: Math.max(known, revision) };
  }

  private apply(stored: StoredServer): void {
    const { serverId, revision } = stored;
    const known = this.entries.get(serverId);
    this.advance(revision);
    if (revision <= Math.max(known?.stored.revision ?? 0, known?.lapsedAtRevision ?? 0)) {
      return;
    }
    const server = readKnownServer(stored, this.regions, this.options);
    const { era } = this.position;
    if (this.removed.isOutdated({ serverId, era, revision, startedAtMs: server?.startedAtMs })) {
      if (this.removed.find(serverId)?.era !== era) {
        this.options.logger.event('serverEntryOutdated', { serverId, revision, era });
      }
      return;
    }
    if (server !== undefined && known?.server !== undefined && known.server.startedAtMs !== server.startedAtMs) {
      this.poolTracker.retain(new Set([...this.entries.keys()].filter((listed) => listed !== serverId)));
      this.backoffs.delete(stored.serverId);
      this.notifyEnded(known.server, 'replaced');
    }
    this.entries.set(stored.serverId, { stored, server });
    this.log(stored, server);
    this.listedListeners.forEach((run) => server && run(server));
  }

  private log(stored: StoredServer, server: KnownServer | undefined): void {
    const { serverId, revision } = stored;
    if (server === undefined) {
      this.options.logger.event('serverEntryIgnored', { serverId, revision });
      return;
    }
    const { pool, failureDomain, state, softwareVersion, address, port } = server;
    this.options.logger.event('serverListed', {
      serverId,
      pool,
      failureDomain,
      state,
      softwareVersion,
      address,
      port,
      revision,
    });
  }

  private markRemoved(serverId: string, revision: number): void {
    const known = this.entries.get(serverId);
    this.advance(revision);
    if (known === undefined || revision < known.stored.revision) {
      return;
    }
    // Leases expire during an outage of the store, also those of live servers.
    if (this.storeLost && known.server?.state === 'live') {
      known.lapsedAtRevision ??= revision;
      return;
    }
    this.deleteEntry(serverId, revision);
  }

  private deleteEntry(serverId: string, revision: number): void {
    const entry = this.entries.get(serverId);
    const server = entry?.server;
    const hasLeft = server !== undefined && (server.state === 'leaving' || this.excluded.has(server));
    const { era } = this.position;
    const writtenRevision = entry?.stored.revision ?? 0;
    this.removed.add(serverId, { era, revision, startedAtMs: server?.startedAtMs, writtenRevision, hasLeft });
    this.entries.delete(serverId);
    this.options.logger.event('serverGone', { serverId, pool: server?.pool, reason: 'entry removed', revision });
    if (server !== undefined) {
      this.notifyEnded(server, hasLeft ? 'left' : 'removed');
    }
  }

  private rebuildIndexes(): void {
    const { evacuations } = this.options;
    const servers = [...this.entries.values()].flatMap(({ server }) => server ?? []);
    this.index = indexServers(servers, {
      isExcluded: (server) => this.excluded.has(server),
      isEvacuated: ({ failureDomain }) => evacuations.has(failureDomain),
    });
    this.poolTracker.retain(new Set(this.entries.keys()));
    this.notifyListeners();
  }

  private notifyEnded(server: KnownServer, end: ProcessEnd): void {
    this.endListeners.forEach((run) => run({ ...server, end }));
  }

  private notifyListeners(): void {
    this.listeners.forEach((run) => run());
  }

  private static describe(server: KnownServer): ServerDescription {
    return server;
  }
}

/**
 * Creates the directory of the backend servers that are registered in the store.
 *
 * @param options - format of the entries, and the region of each failure domain
 * @returns the directory; close it to stop its timer
 */
export default function createBackendDirectory(options: BackendDirectoryOptions): BackendDirectory {
  return new Directory(options);
}
