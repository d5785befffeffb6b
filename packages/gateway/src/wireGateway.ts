import { rateCapacity, type DrainTimes } from '@bergamotcove/decide';
import { createLinkServer, type LinkMethod, type LinkServer } from '@bergamotcove/transport';
import type CallerExchange from './callers/CallerExchange.js';
import createCallerServer, { type CallerServer } from './callers/createCallerServer.js';
import boundConnections from './callers/boundConnections.js';
import startHealthServer, { type HealthServer } from './callers/startHealthServer.js';
import followCatalogue, { type CatalogueFollower } from './catalogue/followCatalogue.js';
import createHostRegistry, { type HostRegistry } from './hosts/createHostRegistry.js';
import createHostExchange, { type HostExchange } from './hosts/createHostExchange.js';
import { SCHEDULER_DUTY } from './scheduling/createRegionScheduler.js';
import createSchedulerClient from './scheduling/createSchedulerClient.js';
import createRequestHandler from './requests/createRequestHandler.js';
import createRefusalReporter from './observe/createRefusalReporter.js';
import reportEnd from './requests/reportEnd.js';
import createAnswerMemory from './servers/createAnswerMemory.js';
import createProcessChecks from './servers/createProcessChecks.js';
import createRetryBudgets from './servers/createRetryBudgets.js';
import createServerPools, { type ServerPools } from './servers/createServerPools.js';
import createBaseParts, { type BaseParts, type GatewayOptions } from './createBaseParts.js';
import createGatewayDrain, { type StopState } from './createGatewayDrain.js';
import type { GatewaySettings } from './settings.js';
import describeStatus, { type GatewayStatus } from './observe/describeStatus.js';
import startMetricsServer, { type MetricsServer } from './observe/startMetricsServer.js';
import createStageClient from './stages/createStageClient.js';

/** A running gateway. */
export interface Gateway {
  readonly callersPort: number;
  readonly healthPort: number;
  readonly peersPort: number;
  readonly metricsPort: number;
  /** Applies changed settings; returns the names of those that take effect only after a restart. */
  apply(settings: GatewaySettings): readonly string[];
  /** Finishes the requests in flight, then stops. */
  drain(): Promise<void>;
  /** Stops every part; requests in flight are aborted. */
  close(): Promise<void>;
}

/** Budget of the bodies of callers' requests that are open at the same time. */
const CALLER_BODIES_BYTES = 48 * 1_048_576;
/** Method that returns the status of a host to an operator. */
const OPERATOR_STATUS = 'operator.status';

/** Refusal of the requests that arrive while this host starts. */
const STARTING = { status: 503, reason: 'no-route-table', retryAfterMs: 500 } as const;

interface Sources {
  readonly exchange: HostExchange;
  readonly follower: CatalogueFollower;
}

/** Creates the parts that receive new state, from other hosts and from the store. */
const createSources = (base: BaseParts): Sources => {
  const { formats, crashes } = base;
  return {
    exchange: createHostExchange({ ...base, blocks: crashes.blockExchange, random: Math.random }),
    follower: followCatalogue({
      ...base,
      format: formats.catalogue,
      blocks: crashes.storedBlocks,
      random: Math.random,
    }),
  };
};

const startLinkServer = (
  { settings, logger, watch }: BaseParts,
  methods: Readonly<Record<string, LinkMethod>>,
): Promise<LinkServer> => {
  const [port, lastPort] = settings.peerPorts;
  return createLinkServer({
    address: settings.host.address,
    port,
    lastPort,
    methods,
    onError: (error) => logger.event('peerMessageInvalid', { error: error.message }),
    watch,
  });
};

const createRegistry = (base: BaseParts, peersPort: number): HostRegistry => {
  const { clock, logger, store, eras, failureDomain, region, formats, settings } = base;
  const { id: hostId, address } = settings.host;
  const target = { address, port: peersPort };
  const capacity = rateCapacity(settings.resources);
  const self = { hostId, target, failureDomain, region, capacity, startId: String(clock.wallMs()) };
  return createHostRegistry({ clock, logger, store, eras, prefix: formats.catalogue.hostPrefix, self });
};

type HandleRequest = (exchange: CallerExchange) => void;

interface CallerParts {
  readonly hosts: HostRegistry;
  readonly pools: ServerPools;
  readonly drain: () => DrainTimes | undefined;
}

const createHandler = (base: BaseParts, { hosts, pools, drain }: CallerParts): HandleRequest => {
  const { clock, logger, links, owners, region } = base;
  const scheduler = createSchedulerClient({ clock, logger, hosts, links, local: base.scheduler, region });
  owners.onState((pool, state) => scheduler.reportPool({ pool, ...state }));
  const stages = createStageClient({ clock, logger, hosts, links, local: owners });
  owners.onInputsUsed((input) => stages.markEvictable(input.region, input.pool, input.results));
  const budgets = createRetryBudgets({
    clock,
    limits: () => base.liveSettings.current().retries,
    hosts: () => hosts.list().length,
  });
  return createRequestHandler({
    ...base,
    pools,
    scheduler,
    processChecks: createProcessChecks({ ...base, format: base.formats.requests, clientOf: pools.clientOf }),
    drain,
    stageFormat: base.formats.stages,
    stages,
    format: base.formats.requests,
    random: Math.random,
    answerMemory: createAnswerMemory(),
    callerMemory: createAnswerMemory({ totalBytes: CALLER_BODIES_BYTES }),
    spendRetry: (pool) => budgets.spend(pool),
    onAccepted: ({ route }) => route.pools.forEach(({ pool }) => budgets.noteRequest(pool)),
    onEnded: ({ requestId, fingerprint, route, version, organisation }, end) => {
      reportEnd(base.metrics, route.name, end);
      const facts = { requestId, fingerprint, route: route.name, version, organisation: organisation?.name };
      logger.event('requestEnded', { ...facts, ...end });
    },
  });
};

const startCallers = (base: BaseParts, state: { readonly handle: HandleRequest }): Promise<CallerServer> =>
  createCallerServer({
    ...base.settings.callers,
    ...base.watch,
    clock: base.clock,
    bounds: boundConnections(base.settings).callers,
    onRequest: (exchange) => state.handle(exchange),
    onRefused: createRefusalReporter('callers', base),
    onNotAdmitted: (requests, openRequests) => base.logger.event('requestNotAdmitted', { requests, openRequests }),
  });

const startHealth = (base: BaseParts, isReady: () => boolean): Promise<HealthServer> => {
  const bounds = boundConnections(base.settings).health;
  const onRefused = createRefusalReporter('health', base);
  return startHealthServer({ ...base.settings.health, ...base.watch, clock: base.clock, bounds, onRefused }, isReady);
};

interface SampledParts {
  readonly callers: CallerServer;
  readonly hosts: HostRegistry;
  readonly isReady: () => boolean;
}

const startMetrics = (base: BaseParts, { callers, hosts, isReady }: SampledParts): Promise<MetricsServer> => {
  const { metrics, tables, directory, limits, settings } = base;
  const sample = (): void => {
    const index = tables.current();
    metrics.report('host.open_requests', callers.openRequests());
    metrics.report('host.memory_bytes', process.memoryUsage.rss());
    metrics.report('host.peers', hosts.list().length);
    metrics.report('host.ready', isReady() ? 1 : 0);
    metrics.report('table.version', index?.table.version ?? 0);
    metrics.report('store.era', base.eras.era);
    metrics.report('host.evacuated_domains', base.evacuations.snapshot().domains.length);
    metrics.report('store.connected', directory.storeLost ? 0 : 1);
    const limited = limits.list();
    const paced = limits.listPaced();
    index?.pools.forEach((_, pool) => {
      metrics.report('pool.servers_limited', limited.filter((limit) => limit.pool === pool).length, { pool });
      metrics.report('pool.servers_paced', paced.filter((server) => server.pool === pool).length, { pool });
      metrics.report('pool.servers', directory.list(pool).length, { pool });
      metrics.report('pool.servers_shunned', directory.listExcluded(pool).length, { pool });
    });
  };
  return startMetricsServer({ ...settings.metrics, ...base.watch, address: settings.host.address, metrics, sample });
};

const readStatus = (base: BaseParts, { callers, hosts, isReady }: SampledParts, stop: StopState): GatewayStatus =>
  describeStatus({
    self: hosts.self,
    hosts: hosts.list(),
    ready: isReady(),
    draining: stop.times !== undefined,
    inFlight: callers.openRequests(),
    tableVersion: base.tables.current()?.table.version,
    store: base.directory.position,
    evacuated: base.evacuations.snapshot().domains,
  });

/** Registers this host, and takes over and hands over duties whenever the list of hosts changes. */
const startDuties = (base: BaseParts, hosts: HostRegistry, exchange: HostExchange): void => {
  const { owners, scheduler, crashes, limits, origins } = base;
  const isOwner = (duty: string): boolean => hosts.rankOwners(duty)[0]?.hostId === hosts.self.hostId;
  hosts.onChange(() => {
    owners.updateOwnership(isOwner);
    scheduler.updateOwnership(isOwner(SCHEDULER_DUTY));
  });
  hosts.start();
  exchange.start(hosts);
  scheduler.start(hosts);
  crashes.start(hosts);
  limits.start(hosts);
  origins.start(hosts);
  base.tables.onChange(() => origins.noteRoutes());
};

/** Methods that other hosts and operators call. */
const listMethods = (
  { owners, scheduler, crashes, limits }: BaseParts,
  { exchange, follower, readStatus: read }: Sources & { readonly readStatus: () => GatewayStatus | undefined },
): Readonly<Record<string, LinkMethod>> => ({
  [OPERATOR_STATUS]: read,
  ...owners.methods,
  ...scheduler.methods,
  ...exchange.methods,
  ...follower.methods,
  ...crashes.methods,
  ...limits.methods,
});

/** A part that is closed when the gateway stops. */
interface Closeable {
  close(): void;
}

interface ClosedParts {
  readonly hosts: HostRegistry;
  readonly pools: ServerPools;
  readonly started: readonly Closeable[];
}

const createClose =
  (base: BaseParts, { hosts, pools, started }: ClosedParts): (() => Promise<void>) =>
  async () => {
    const { scheduler, crashes, owners, limits, origins, links, queues, directory, store } = base;
    await hosts.leave();
    [...started, scheduler, crashes, owners, limits, origins, links, queues, pools, directory, store].forEach((part) =>
      part.close(),
    );
  };

/**
 * Builds and starts a gateway.
 *
 * @param settings - validated settings
 * @param options - formats, wire format of the store, and clock
 * @returns the running gateway, once it listens
 */
export default async function startGateway(settings: GatewaySettings, options: GatewayOptions): Promise<Gateway> {
  const base = createBaseParts(settings, options);
  const { logger, tables, directory } = base;
  const { exchange, follower } = createSources(base);
  const status = { read: (): GatewayStatus | undefined => undefined };
  const stop: StopState = { times: undefined };
  let started: readonly Closeable[] = [];
  const isReady = (): boolean => started.length > 0 && stop.times === undefined && tables.current() !== undefined;
  // The health check answers 503 while the start waits for the other ports. Other hosts reach this one last, because they
  // take a host that answers for one that serves.
  const health = await startHealth(base, isReady);
  const requests = { handle: (request: CallerExchange): void => request.refuse(STARTING) };
  const callers = await startCallers(base, requests);
  tables.onChange(({ table }) => callers.setLimits(table.limits));
  const linkServer = await startLinkServer(
    base,
    listMethods(base, { exchange, follower, readStatus: () => status.read() }),
  );
  const hosts = createRegistry(base, linkServer.port);
  const pools = createServerPools({ ...base, hosts });
  requests.handle = createHandler(base, { hosts, pools, drain: () => stop.times });
  follower.start(hosts);
  hosts.onStoreFailed(() => follower.probe());
  startDuties(base, hosts, exchange);
  const sampledParts = { callers, hosts, isReady };
  status.read = () => readStatus(base, sampledParts, stop);
  const metricsServer = await startMetrics(base, sampledParts);
  logger.event('hostStarted', { callersPort: callers.port, peersPort: linkServer.port });

  started = [follower, exchange, callers, health, metricsServer, linkServer];
  const close = createClose(base, { hosts, pools, started });
  const drainState = { running: undefined as Promise<void> | undefined };
  return {
    callersPort: callers.port,
    healthPort: health.port,
    peersPort: linkServer.port,
    get metricsPort() {
      return metricsServer.port;
    },
    apply: (changed) => {
      directory.setRegions(changed.host.regions);
      return base.liveSettings.apply(changed);
    },
    drain: () => {
      drainState.running ??= createGatewayDrain({ ...base, callers, hosts, stop, close })();
      return drainState.running;
    },
    close,
  };
}
