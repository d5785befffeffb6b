import {
  followStore,
  type EraTracker,
  type StoreClient,
  type StoreEntry,
  type StoreFollower,
  type StoreFollowerOptions,
  type WatchLimits,
} from '@bergamotcove/backends';
import type { Clock, Timer } from '@bergamotcove/clock';
import { chooseSource, MAX_DIRECT_HOSTS, RELAY_TIMEOUT_MS, RELAYS, type CatalogueSource } from '@bergamotcove/decide';
import { reportReaderFault, type Logger } from '@bergamotcove/log';
import type { LinkClient, LinkMethod } from '@bergamotcove/transport';
import type { StreamOrigins } from '../streams/createStreamOrigins.js';
import type { StoredBlocks } from '../crashes/createBlockSharing.js';
import type { HostRegistry } from '../hosts/createHostRegistry.js';
import type { CatalogueFormat } from '../ports.js';
import type { BackendDirectory } from './BackendDirectory.js';
import type { StorePosition } from './comparePositions.js';
import createCatalogueLog, { type CatalogueChange, type CatalogueLog } from './createCatalogueLog.js';
import createCatalogueRelay, { type CatalogueRelay, type RelayStatus } from './createCatalogueRelay.js';
import type { Evacuations } from './createEvacuations.js';
import createCatalogueSink from './createCatalogueSink.js';
import type { StoreNews } from './createStoreNews.js';
import type { RouteTableHolder } from './createRouteTableHolder.js';

/** Options of {@link followCatalogue}. */
export interface CatalogueOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly links: LinkClient;
  readonly store: Pick<StoreClient, 'range' | 'watch'>;
  readonly eras: EraTracker;
  readonly format: CatalogueFormat;
  readonly tables: RouteTableHolder;
  readonly directory: BackendDirectory;
  readonly evacuations: Evacuations;
  readonly blocks: StoredBlocks;
  readonly origins: Pick<StreamOrigins, 'putAgreed'>;
  readonly random: () => number;
  readonly news: StoreNews;
}

/** Follows the route table and the entries of servers, hosts and blocked requests in the configuration store. */
export interface CatalogueFollower {
  /** Methods that other hosts call. */
  readonly methods: Readonly<Record<string, LinkMethod>>;
  start(hosts: HostRegistry): void;
  /** Replaces the watch of the store, because its connection may be dead without having been closed. */
  probe(): void;
  close(): void;
}

/** All keys are in one store; one watch over all of them costs less than one watch for each prefix. */
const ALL_KEYS = '';
/** Duty of the hosts that watch the store on behalf of the other hosts of their failure domain. */
const RELAY_DUTY = 'relay';
/** Interval at which the source is chosen again. */
const REVIEW_MS = 250;
/** A starting host receives a message of its relays within this time after it is listed. */
const START_GRACE_MS = 800;
/** A host that has had no source for this time treats the store as unavailable. */
const LOST_AFTER_MS = 1_000;
/** Longest time without a message on a relay's watch, so that a relay that lost the store is detected in time. */
const RELAY_QUIET_MS = 1_500;
/** The same with cold starts: with the interval of the relays' heartbeats, news stay younger than `NEWS_LIFETIME_MS`. */
const NEWS_QUIET_MS = 700;
/** Number of hosts after the regular relays in rank that take over when those do not reach the store. */
const STANDBY_RELAYS = 3;
/** After this time without a relay any host that reaches the store takes over as a relay. */
const STANDBY_AFTER_MS = 3_000;

/** Finds the time of the latest message of the relays that pass a check; -Infinity without one. */
const findLatestMs = (
  statuses: ReadonlyMap<string, RelayStatus>,
  check: (status: RelayStatus, hostId: string) => boolean,
): number =>
  Math.max(-Infinity, ...[...statuses].filter(([hostId, status]) => check(status, hostId)).map(([, { atMs }]) => atMs));

class Follower implements CatalogueFollower {
  readonly methods: Readonly<Record<string, LinkMethod>>;

  private readonly log: CatalogueLog;

  private readonly relay: CatalogueRelay;

  private hosts: HostRegistry | undefined;

  private store: StoreFollower | undefined;

  private source: CatalogueSource['type'] = 'none';

  private storeAnswers = false;

  private failures = 0;

  private failedAtMs = -Infinity;

  private failureReason = 'no message from a relay';

  private searchingSinceMs = 0;

  /** Whether the store was reachable at the last review, directly or through a relay; undefined until it first is. */
  private wasReachable: boolean | undefined;

  private hadColdStarts = false;

  private timer: Timer | undefined;

  private closed = false;

  constructor(private readonly options: CatalogueOptions) {
    const { clock, logger, links, directory, eras } = options;
    this.log = createCatalogueLog(createCatalogueSink(options, () => this.hosts));
    this.relay = createCatalogueRelay({
      clock,
      logger,
      links,
      log: this.log,
      readState: () => {
        if (!this.storeAnswers) {
          return 'lost';
        }
        return directory.storeLost ? 'returning' : 'live';
      },
      readNewsAgeMs: () => (this.hasColdStarts() ? this.options.news.ageMs() : undefined),
      onMessage: (era, newsAgeMs) => {
        if (newsAgeMs !== undefined) {
          options.news.note(newsAgeMs);
        }
        if (era !== undefined) {
          eras.observe(era);
        }
        this.review();
      },
      onReturning: () => {
        if (!this.storeAnswers) {
          directory.noteStore('lost');
          directory.noteStore('found');
        }
      },
    });
    this.methods = this.relay.methods;
    eras.onEvent((event) => {
      if (event.type === 'advanced' && !this.closed) {
        // Hosts that follow a relay receive the new era from it.
        this.store?.refresh();
      }
    });
  }

  start(hosts: HostRegistry): void {
    this.hosts = hosts;
    this.searchingSinceMs = this.options.clock.monotonicMs() + START_GRACE_MS;
    hosts.onChange(() => this.review());
    this.openStore();
    this.tick();
    this.options.tables.onChange(() => this.updateQuietTime());
  }

  probe(): void {
    this.store?.probe();
  }

  close(): void {
    this.closed = true;
    this.timer?.close();
    this.store?.close();
    this.relay.close();
  }

  private tick(): void {
    this.timer = this.options.clock.schedule(REVIEW_MS, () => {
      this.review();
      this.tick();
    });
  }

  /** Chooses the source, and decides whether this host relays to the others. */
  private review(): void {
    const { hosts } = this;
    if (hosts === undefined || this.closed) {
      return;
    }
    const nowMs = this.options.clock.monotonicMs();
    const { self } = hosts;
    const domainHosts = hosts.list().filter(({ failureDomain }) => failureDomain === self.failureDomain);
    const ranked = hosts.rankOwners(RELAY_DUTY).filter(({ failureDomain }) => failureDomain === self.failureDomain);
    const rank = ranked.findIndex(({ hostId }) => hostId === self.hostId);
    const relayStatuses = this.relay.statuses;
    const relayAtMs = findLatestMs(relayStatuses, ({ state }) => state !== 'lost');
    const hasLiveRelay = nowMs - relayAtMs <= RELAY_TIMEOUT_MS;
    // A host that reaches the store itself yields only to relays of higher rank, so that two never yield to each other.
    const higherRanked = new Set(ranked.slice(0, Math.max(0, rank)).map(({ hostId }) => hostId));
    const higherRankedAtMs = findLatestMs(
      relayStatuses,
      ({ state }, hostId) => state !== 'lost' && higherRanked.has(hostId),
    );
    if (hasLiveRelay || this.storeAnswers) {
      this.searchingSinceMs = Math.max(this.searchingSinceMs, nowMs);
    }
    if (this.log.isFilled) {
      this.follow(
        chooseSource(
          {
            hosts: domainHosts.length,
            rank,
            relayAtMs: this.storeAnswers ? higherRankedAtMs : relayAtMs,
            heardAtMs: findLatestMs(relayStatuses, () => true),
            searchingSinceMs: this.searchingSinceMs,
            storeAnswers: this.storeAnswers,
            failures: this.failures,
            failedAtMs: this.failedAtMs,
          },
          nowMs,
        ),
      );
    }
    this.updateStoreState(hasLiveRelay, nowMs);
    const others = domainHosts.filter(({ hostId }) => hostId !== self.hostId);
    const wasActive = this.relay.isActive;
    const isRelay = domainHosts.length > MAX_DIRECT_HOSTS && this.shouldRelay(rank, nowMs - higherRankedAtMs);
    this.relay.review(self, isRelay ? others : []);
    if (this.relay.isActive && !wasActive) {
      // Reopens the watch with the shorter quiet time of relays.
      this.probe();
    }
  }

  /** Whether this host passes changes on to the other hosts of its failure domain. */
  private shouldRelay(rank: number, sinceRelayMs: number): boolean {
    if (rank >= 0 && rank < RELAYS) {
      return true;
    }
    const isStandby = (rank >= 0 && rank < RELAYS + STANDBY_RELAYS) || sinceRelayMs > STANDBY_AFTER_MS;
    return this.source === 'store' && this.storeAnswers && sinceRelayMs > RELAY_TIMEOUT_MS && isStandby;
  }

  /** Reopens the watch when its quiet time changes with the route table. */
  private updateQuietTime(): void {
    if (this.hasColdStarts() !== this.hadColdStarts) {
      this.hadColdStarts = !this.hadColdStarts;
      this.probe();
    }
  }

  private readWatchLimits(): WatchLimits {
    if (this.hasColdStarts()) {
      return { quietMs: NEWS_QUIET_MS };
    }
    return this.relay.isActive ? { quietMs: RELAY_QUIET_MS } : {};
  }

  /** Whether hosts have to know how old their news of the store are. */
  private hasColdStarts(): boolean {
    return this.options.tables.current()?.table.pools.some(({ coldStart }) => coldStart !== undefined) ?? false;
  }

  private follow({ type }: CatalogueSource): void {
    if (type === 'store' && this.store === undefined) {
      this.openStore();
    } else if (type !== 'store' && this.store !== undefined) {
      this.closeStore();
    }
    if (type !== this.source) {
      const { position } = this.log;
      this.options.logger.event('catalogueSourceChanged', { source: type, before: this.source, ...position });
      this.source = type;
    }
  }

  private openStore(): void {
    const { clock, random, store, format } = this.options;
    // The origins of single streams are many, and are read one by one when they are needed.
    const isFollowed = (key: string): boolean => !key.startsWith(format.streamPrefix);
    const { isFilled, position } = this.log;
    let { era, revision: fromRevision } = position;
    let changes: CatalogueChange[] = [];
    this.store = followStore({
      clock,
      random,
      store,
      prefix: ALL_KEYS,
      rangeEnd: format.streamPrefix,
      ...(isFilled ? { knownRevision: String(fromRevision), knownEra: era } : {}),
      limits: () => this.readWatchLimits(),
      onSnapshot: (entries, read, readEra) => {
        era = readEra ?? era;
        this.options.news.note();
        fromRevision = Number(read);
        changes = [];
        this.applySnapshot(entries, { era, revision: fromRevision });
      },
      onPut: ({ key, value, modRevision }) => {
        if (isFollowed(key)) {
          changes.push({ key, value, revision: Number(modRevision) });
        }
      },
      onDelete: (key, deleted) => {
        if (isFollowed(key)) {
          changes.push({ key, revision: Number(deleted) });
        }
      },
      onReached: (reached) => {
        this.options.news.note();
        const batch = { era, fromRevision, toRevision: Number(reached), changes };
        fromRevision = batch.toRevision;
        changes = [];
        this.log.apply(batch);
        this.relay.push(batch);
      },
      onFault: (error) => reportReaderFault(this.options.logger, error),
      ...this.createStateHandlers(),
    });
  }

  private applySnapshot(entries: readonly StoreEntry[], position: StorePosition): void {
    const { era } = this.log.position;
    this.log.replace({
      entries: entries.map(({ key, value, modRevision }) => ({ key, value, revision: Number(modRevision) })),
      ...position,
    });
    if (position.era > era) {
      this.relay.announce();
    }
    this.review();
  }

  /** Creates the handlers that record whether the store answers. */
  private createStateHandlers(): Pick<StoreFollowerOptions, 'onLost' | 'onFailed' | 'onFound'> {
    return {
      onLost: (reason) => {
        this.storeAnswers = false;
        this.failureReason = reason;
      },
      onFailed: () => {
        this.failures += 1;
        this.failedAtMs = this.options.clock.monotonicMs();
        this.review();
      },
      onFound: () => {
        this.storeAnswers = true;
        this.failures = 0;
        this.review();
      },
    };
  }

  private closeStore(): void {
    this.store?.close();
    this.store = undefined;
    this.storeAnswers = false;
  }

  /** Tells the server directory when the store becomes unavailable, and when it is reachable again. */
  private updateStoreState(hasLiveRelay: boolean, nowMs: number): void {
    const { directory, logger } = this.options;
    const isReachable = this.storeAnswers || hasLiveRelay;
    if (isReachable && this.wasReachable !== true) {
      this.wasReachable = true;
      directory.noteStore('found');
      logger.event('storeRecovered', { source: this.source });
    } else if (!isReachable && this.wasReachable === true) {
      const searchedMs = nowMs - this.searchingSinceMs;
      if (this.failures > 0 || searchedMs > LOST_AFTER_MS) {
        this.wasReachable = false;
        directory.noteStore('lost');
        logger.event('storeUnavailable', { reason: this.failureReason });
      }
    }
  }
}

/**
 * Follows the changes of the store. In small failure domains every host watches the store itself; in larger ones a few
 * hosts watch it and relay the changes to the others.
 *
 * @param options - store, links to other hosts, and the consumers of the entries
 * @returns the follower; close it to stop
 */
export default function followCatalogue(options: CatalogueOptions): CatalogueFollower {
  return new Follower(options);
}
