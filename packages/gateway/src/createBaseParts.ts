import {
  createEraTracker,
  createStoreClient,
  type EraTracker,
  type StoreClient,
  type StoreDialect,
} from '@bergamotcove/backends';
import { createSystemClock, type Clock } from '@bergamotcove/clock';
import { createPoolQueues, type PoolQueues } from '@bergamotcove/entry';
import { createLogger, reportReaderFault, type Logger } from '@bergamotcove/log';
import { createScrapedMetrics, type ScrapedMetrics } from '@bergamotcove/telemetry';
import { createLinkClient, type LinkClient, type PortWatch } from '@bergamotcove/transport';
import type { BackendDirectory } from './catalogue/BackendDirectory.js';
import createBackendDirectory from './catalogue/createBackendDirectory.js';
import createEvacuations, { type Evacuations } from './catalogue/createEvacuations.js';
import createRouteTableHolder, { type RouteTableHolder } from './catalogue/createRouteTableHolder.js';
import logEraEvent from './catalogue/logEraEvent.js';
import createCrashGuard, { type CrashGuard } from './crashes/createCrashGuard.js';
import createStoreNews, { type StoreNews } from './catalogue/createStoreNews.js';
import createSettingsHolder, { type SettingsHolder } from './createSettingsHolder.js';
import createPaceTable from './limits/createPaceTable.js';
import createRateLimits, { type RateLimits } from './limits/createRateLimits.js';
import watchPorts from './observe/watchPorts.js';
import type { GatewayFormats } from './ports.js';
import createResidency, { type Residency } from './residency/createResidency.js';
import createRegionScheduler, { SCHEDULER_DUTY, type RegionScheduler } from './scheduling/createRegionScheduler.js';
import type { GatewaySettings } from './settings.js';
import createBatchOwners, { type BatchOwners } from './stages/createBatchOwners.js';
import createStreamOrigins, { type StreamOrigins } from './streams/createStreamOrigins.js';

/** Options of {@link startGateway}. */
export interface GatewayOptions {
  readonly formats: GatewayFormats;
  readonly storeDialect: StoreDialect;
  readonly clock?: Clock;
}

/** Parts that hold state and connections and decide nothing. */
export interface BaseState {
  /** Settings at the start. */
  readonly settings: GatewaySettings;
  readonly liveSettings: SettingsHolder;
  readonly formats: GatewayFormats;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: ScrapedMetrics;
  /** Watches the ports of this host. */
  readonly watch: PortWatch;
  readonly failureDomain: string;
  readonly region: string;
  readonly store: StoreClient;
  readonly eras: EraTracker;
  readonly tables: RouteTableHolder;
  readonly residency: Residency;
  readonly directory: BackendDirectory;
  readonly evacuations: Evacuations;
  /** Monotonic times at which evacuations of failure domains ended. */
  readonly evacuationEnds: ReadonlyMap<string, number>;
  readonly news: StoreNews;
  readonly links: LinkClient;
}

/** Parts that the other parts of the gateway depend on. */
export interface BaseParts extends BaseState {
  readonly limits: RateLimits;
  readonly owners: BatchOwners;
  readonly scheduler: RegionScheduler;
  readonly queues: PoolQueues;
  readonly crashes: CrashGuard;
  readonly origins: StreamOrigins;
}

const LINK_LIMITS = { connectLimitMs: 300, pingMs: 200, silenceLimitMs: 700 };
const STORE_TIMEOUT_MS = 1_000;

const createBaseState = (settings: GatewaySettings, options: GatewayOptions): BaseState => {
  const clock = options.clock ?? createSystemClock();
  const { formats } = options;
  const { id: hostId, failureDomain, regions } = settings.host;
  const logger = createLogger('gateway', { hostId, failureDomain });
  const metrics = createScrapedMetrics();
  const eras = createEraTracker();
  const liveSettings = createSettingsHolder(settings);
  const evacuations = createEvacuations({ logger, regions: () => liveSettings.current().host.regions });
  // Comes before the directory, which tells others of servers that may be used again.
  const evacuationEnds = new Map<string, number>();
  evacuations.onChange((ended) => ended.forEach((domain) => evacuationEnds.set(domain, clock.monotonicMs())));
  eras.onEvent((event) => logEraEvent(event, logger));
  const tables = createRouteTableHolder({ clock, logger, format: formats.catalogue });
  const residency = createResidency({ logger, tables, regions: () => liveSettings.current().host.regions });
  return {
    settings,
    liveSettings,
    formats,
    clock,
    logger,
    metrics,
    watch: watchPorts(logger, metrics),
    failureDomain,
    region: regions[failureDomain] ?? failureDomain,
    store: createStoreClient({
      eras,
      urls: [`http://${settings.store.address}:${settings.store.port}`],
      timeoutMs: STORE_TIMEOUT_MS,
      dialect: options.storeDialect,
      onFault: (error) => reportReaderFault(logger, error),
    }),
    eras,
    tables,
    residency,
    directory: createBackendDirectory({ clock, logger, format: formats.catalogue, regions, evacuations }),
    evacuations,
    evacuationEnds,
    news: createStoreNews(clock),
    links: createLinkClient({ clock, ...LINK_LIMITS }),
  };
};

/**
 * Creates the parts that hold the state of the gateway and decide; none of them has started yet.
 *
 * @param settings - validated settings
 * @param options - formats, wire format of the store, and clock
 * @returns the parts
 */
export default function createBaseParts(settings: GatewaySettings, options: GatewayOptions): BaseParts {
  const state = createBaseState(settings, options);
  const { clock, tables, directory, formats } = state;
  const dutyOf = (pool: string): string =>
    tables.current()?.pools.get(pool)?.batch === undefined ? SCHEDULER_DUTY : pool;
  const paces = createPaceTable({ ...state, bound: settings.coldStart });
  const limits = createRateLimits({ ...state, dutyOf, paces });
  const { blockPrefix, releasePrefix } = formats.catalogue;
  const prefixes = { blocks: blockPrefix, releases: releasePrefix };
  const crashes = createCrashGuard({ ...state, prefixes, hostId: settings.host.id, random: Math.random });
  const queues = createPoolQueues(clock);
  directory.onChange(() => queues.drainAll());
  limits.onChange(() => queues.drainAll());
  return {
    ...state,
    limits,
    crashes,
    owners: createBatchOwners({ ...state, format: formats.stages, limits, crashes }),
    scheduler: createRegionScheduler({ ...state, limits }),
    queues,
    origins: createStreamOrigins({ ...state, format: formats.catalogue }),
  };
}
