import {
  followStore,
  type EraTracker,
  type StoreClient,
  type StoreEntry,
  type StoreFollower,
  type StoreFollowerOptions,
} from '@bergamotcove/backends';
import type { Clock, Timer } from '@bergamotcove/clock';
import { chooseSource, MAX_DIRECT_HOSTS, RELAY_LIMIT_MS, RELAYS, type CatalogueSource } from '@bergamotcove/decide';
import type { Logger } from '@bergamotcove/log';
import type { LinkClient, LinkMethod } from '@bergamotcove/transport';
import type { StoredBlocks } from '../crashes/createBlockSharing.js';
import type { HostRegistry } from '../hosts/createHostRegistry.js';
import type { CatalogueFormat } from '../ports.js';
import type { BackendDirectory } from './BackendDirectory.js';
import type { StorePosition } from './comparePositions.js';
import createCatalogueLog, { type CatalogueChange, type CatalogueLog } from './createCatalogueLog.js';
import createCatalogueRelay, { type CatalogueRelay, type RelaySighting } from './createCatalogueRelay.js';
import createCatalogueSink from './createCatalogueSink.js';
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
  readonly blocks: StoredBlocks;
  readonly random: () => number;
}

/** Follows what operators, backend servers and hosts write to the store. */
export interface CatalogueFollower {
  /** Methods for other hosts. */
  readonly methods: Readonly<Record<string, LinkMethod>>;
  start(hosts: HostRegistry): void;
  /** Makes a watch of the store anew, because its connection may be silent. */
  probe(): void;
  close(): void;
}

/** Everything lies in one store, and one watch of all its keys costs less than one of each prefix. */
const ALL_KEYS = '';
/** Duty of the hosts of a failure domain that follow the store for the others. */
const RELAY_DUTY = 'relay';
/** Interval at which the source is chosen anew. */
const REVIEW_MS = 250;
/** A host that starts hears its relays within this time of being listed. */
const START_WAIT_MS = 800;
/** A host without a source for this time counts the store as lost. */
const LOST_AFTER_MS = 1_000;
/** Longest quiet time of a relay's watch: a relay that was cut off from the store is found out in time. */
const RELAY_QUIET_MS = 1_500;
/** Hosts after the first ones that stand in for relays which do not reach the store. */
const STAND_INS = 3;
/** Any host that reaches the store stands in after this time without a relay. */
const STAND_IN_AFTER_MS = 3_000;

/** When one of the relays that pass a check was last heard. */
const findLast = (
  sightings: ReadonlyMap<string, RelaySighting>,
  check: (sighting: RelaySighting, hostId: string) => boolean,
): number =>
  Math.max(
    -Infinity,
    ...[...sightings].filter(([hostId, sighting]) => check(sighting, hostId)).map(([, { atMs }]) => atMs),
  );

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

  private failedWith = 'no relay is heard';

  private searchingSinceMs = 0;

  /** Whether the store is reached, by itself or over relays; undefined before the first time. */
  private reached: boolean | undefined;

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
      onHeard: (era) => {
        if (era !== undefined) {
          eras.hear(era);
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
        // Hosts that follow a relay hear of it there.
        this.store?.refresh();
      }
    });
  }

  start(hosts: HostRegistry): void {
    this.hosts = hosts;
    this.searchingSinceMs = this.options.clock.monotonicMs() + START_WAIT_MS;
    hosts.onChange(() => this.review());
    this.openStore();
    this.tick();
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

  /** Chooses the source, and whether this host relays to the others. */
  private review(): void {
    const { hosts } = this;
    if (hosts === undefined || this.closed) {
      return;
    }
    const nowMs = this.options.clock.monotonicMs();
    const { self } = hosts;
    const near = hosts.list().filter(({ failureDomain }) => failureDomain === self.failureDomain);
    const ranked = hosts.rankOwners(RELAY_DUTY).filter(({ failureDomain }) => failureDomain === self.failureDomain);
    const rank = ranked.findIndex(({ hostId }) => hostId === self.hostId);
    const heard = this.relay.sightings;
    const relayAtMs = findLast(heard, ({ state }) => state !== 'lost');
    const hearsRelay = nowMs - relayAtMs <= RELAY_LIMIT_MS;
    // A host that reaches the store itself yields only to relays before it, so that two never yield to each other.
    const ahead = new Set(ranked.slice(0, Math.max(0, rank)).map(({ hostId }) => hostId));
    const aheadAtMs = findLast(heard, ({ state }, hostId) => state !== 'lost' && ahead.has(hostId));
    if (hearsRelay || this.storeAnswers) {
      this.searchingSinceMs = Math.max(this.searchingSinceMs, nowMs);
    }
    if (this.log.isFilled) {
      this.follow(
        chooseSource(
          {
            hosts: near.length,
            rank,
            relayAtMs: this.storeAnswers ? aheadAtMs : relayAtMs,
            heardAtMs: findLast(heard, () => true),
            searchingSinceMs: this.searchingSinceMs,
            storeAnswers: this.storeAnswers,
            failures: this.failures,
            failedAtMs: this.failedAtMs,
          },
          nowMs,
        ),
      );
    }
    this.noteReach(hearsRelay, nowMs);
    const others = near.filter(({ hostId }) => hostId !== self.hostId);
    const wasActive = this.relay.isActive;
    const isRelay = near.length > MAX_DIRECT_HOSTS && this.relays(rank, nowMs - aheadAtMs);
    this.relay.review(self, isRelay ? others : []);
    if (this.relay.isActive && !wasActive) {
      // The watch goes on with the shorter quiet time of relays.
      this.probe();
    }
  }

  /** Whether this host tells the others of its failure domain what it learns. */
  private relays(rank: number, aloneMs: number): boolean {
    if (rank >= 0 && rank < RELAYS) {
      return true;
    }
    const isStandIn = (rank >= 0 && rank < RELAYS + STAND_INS) || aloneMs > STAND_IN_AFTER_MS;
    return this.source === 'store' && this.storeAnswers && aloneMs > RELAY_LIMIT_MS && isStandIn;
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
    const { clock, random, store } = this.options;
    const { isFilled, position } = this.log;
    let { era, revision: fromRevision } = position;
    let changes: CatalogueChange[] = [];
    this.store = followStore({
      clock,
      random,
      store,
      prefix: ALL_KEYS,
      ...(isFilled ? { knownRevision: String(fromRevision), knownEra: era } : {}),
      limits: () => (this.relay.isActive ? { quietMs: RELAY_QUIET_MS } : {}),
      onSnapshot: (entries, read, readEra) => {
        era = readEra ?? era;
        fromRevision = Number(read);
        changes = [];
        this.takeSnapshot(entries, { era, revision: fromRevision });
      },
      onPut: ({ key, value, modRevision }) => changes.push({ key, value, revision: Number(modRevision) }),
      onDelete: (key, deleted) => changes.push({ key, revision: Number(deleted) }),
      onReached: (reached) => {
        const batch = { era, fromRevision, toRevision: Number(reached), changes };
        fromRevision = batch.toRevision;
        changes = [];
        this.log.apply(batch);
        this.relay.push(batch);
      },
      ...this.watchAnswers(),
    });
  }

  private takeSnapshot(entries: readonly StoreEntry[], position: StorePosition): void {
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

  /** Follows whether the store answers. */
  private watchAnswers(): Pick<StoreFollowerOptions, 'onLost' | 'onFailed' | 'onFound'> {
    return {
      onLost: (reason) => {
        this.storeAnswers = false;
        this.failedWith = reason;
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

  /** Tells the parts that keep servers when the store is lost, and when it is back. */
  private noteReach(hearsRelay: boolean, nowMs: number): void {
    const { directory, logger } = this.options;
    const isReached = this.storeAnswers || hearsRelay;
    if (isReached && this.reached !== true) {
      this.reached = true;
      directory.noteStore('found');
      logger.event('storeRecovered', { source: this.source });
    } else if (!isReached && this.reached === true) {
      const searchedMs = nowMs - this.searchingSinceMs;
      if (this.failures > 0 || searchedMs > LOST_AFTER_MS) {
        this.reached = false;
        directory.noteStore('lost');
        logger.event('storeUnavailable', { reason: this.failedWith });
      }
    }
  }
}

/**
 * Follows what is written to the store: in small failure domains every host by itself, in larger ones a few hosts that
 * relay it to the others.
 *
 * @param options - store, links to other hosts, and the parts that keep what the store holds
 * @returns the follower; close it to stop
 */
export default function followCatalogue(options: CatalogueOptions): CatalogueFollower {
  return new Follower(options);
}
