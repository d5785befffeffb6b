import { createSystemClock, type Clock } from '@bergamotcove/clock';
import type { Settings } from '@bergamotcove/config';
import { createLogger, reportReaderFault, type Logger } from '@bergamotcove/log';
import { createGuardedStore, createStoreClient, fetchHostList, type StoreClient } from '@bergamotcove/backends';
import { createHostListFollower, type HostListFollower } from '@bergamotcove/membership';
import type { HostStatus, PeerAddress } from '@bergamotcove/protocol';
import { createMetrics, createTracer, type Metrics, type Tracer } from '@bergamotcove/telemetry';
import {
  createHttpClient,
  createHttpServer,
  createPeerAuth,
  createPeerClient,
  createPeerServer,
  sendJson,
  type HttpClient,
  type HttpExchange,
  type HttpServer,
  type PeerAuth,
  type PeerClient,
  type PeerServer,
  type PeerKey,
} from '@bergamotcove/transport';
import handleCallerRequest, { matchServicePath } from './callers/handleCallerRequest.js';
import createClaimRegistry from './claims/createClaimRegistry.js';
import type { ClaimRegistry } from './claims/types.js';
import createConfigHolder, { type ConfigHolder, type DocumentSink } from './config/createConfigHolder.js';
import createDrain from './drain/createDrain.js';
import readPools from './operators/readPools.js';
import registerOperatorMethods from './operators/registerOperatorMethods.js';
import createControlPlane, { type ControlPlane } from './peers/createControlPlane.js';
import startOnFreePort from './peers/startOnFreePort.js';
import type { Planner } from './planner/createPlanner.js';
import startPlanner from './planner/startPlanner.js';
import createDownCheck from './poison/createDownCheck.js';
import createPoisonGuard, { type PoisonGuard } from './poison/createPoisonGuard.js';
import createStatusQuery from './requests/createStatusQuery.js';
import createRouting, { type RoutingPeers } from './servers/createRouting.js';
import createRequestService, { type RequestService } from './requests/createRequestService.js';
import createServerDirectory, { type ServerDirectory } from './servers/createServerDirectory.js';

/** A running entry host. */
export interface EntryHost {
  readonly callersPort: number;
  readonly peersPort: number;
  /** Finishes the requests in flight, then stops. */
  drain(): Promise<void>;
  /** Stops listening and closes every part; requests in flight finish first. */
  close(): Promise<void>;
  /** Drops all connections at once, as a crash does. */
  abort(): void;
  /** Replaces the peer keys; the first one signs. */
  setPeerKeys(keys: readonly PeerKey[]): void;
}

/** Parts that tests replace. */
export interface EntryHostOptions {
  readonly clock?: Clock;
}

/** Parts of the host on which the others depend. */
interface Base {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly tracer: Tracer;
  readonly http: HttpClient;
  readonly auth: PeerAuth;
  readonly peerClient: PeerClient;
  readonly store: StoreClient;
  readonly hostList: HostListFollower;
  readonly directory: ServerDirectory;
  readonly config: ConfigHolder & DocumentSink;
  readonly control: ControlPlane;
}

const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_UNAVAILABLE = 503;

const createHostList = (
  { settings, clock, logger, http, peerClient }: Pick<Base, 'settings' | 'clock' | 'logger' | 'http' | 'peerClient'>,
  self: PeerAddress,
): HostListFollower => {
  const { url, pollMs } = settings.hostList;
  const { timeoutMs } = settings.store;
  return createHostListFollower({
    clock,
    logger,
    self,
    peerClient,
    random: Math.random,
    readMs: pollMs,
    readList: (etag) => fetchHostList(http, { url, timeoutMs, ...(etag === undefined ? {} : { etag }) }),
  });
};

const createBase = (settings: Settings, options: EntryHostOptions): Base => {
  const clock = options.clock ?? createSystemClock();
  const { id: hostId, ...location } = settings.host;
  const { failureDomain } = location;
  const logger = createLogger('entry', { hostId, failureDomain });
  const metrics = createMetrics({ hostId, ...settings.metrics });
  const onFault = (error: Error): void => reportReaderFault(logger, error);
  const http = createHttpClient({ onFault });
  const auth = createPeerAuth({ clock, keys: settings.peers.keys });
  const client = createStoreClient({
    ...settings.store,
    onFault,
    onCall: (call, result) => metrics.report('store.calls', 1, { call, result }),
  });
  const store = createGuardedStore(client, { clock, random: Math.random });
  const config = createConfigHolder({ logger });
  const peerClient = createPeerClient(http, { auth });
  const sharedParts = { settings, clock, logger, http, auth, peerClient, store, config };
  const self = { hostId, ...location, peersPort: settings.peers.port };
  const hostList = createHostList(sharedParts, self);
  return {
    ...sharedParts,
    metrics,
    tracer: createTracer({ hostId, sampleRatio: settings.trace.sampleRatio }),
    hostList,
    directory: createServerDirectory({ clock, hostList }),
    control: createControlPlane({ ...sharedParts, hostList }),
  };
};

/** Request service, and the queues and timers behind it. */
interface RequestParts {
  readonly requests: RequestService;
  readonly waitingFor: (pool: string) => number;
  close(): void;
}

/** Parts on which the request service depends. */
interface RequestDependencies {
  readonly claims: ClaimRegistry;
  readonly poison: PoisonGuard;
  readonly peers: RoutingPeers;
}

const createRequests = (base: Base, { claims, poison, peers }: RequestDependencies): RequestParts => {
  const routing = createRouting(base, peers);
  const requests = createRequestService({
    clock: base.clock,
    config: base.config,
    claims,
    poison,
    queryStatus: createStatusQuery(base.http, base.directory),
    tracer: base.tracer,
    admit: (plan, document) => routing.gate.admit(plan, document),
    dispatch: routing.dispatch,
    onFinished: (plan, result, durationMs) => {
      if (result.type === 'answered') {
        routing.estimates.learnRun(plan, durationMs);
      }
      const tags = { service: plan.service, result: result.type };
      base.metrics.report('request.count', 1, tags);
      base.metrics.report('request.duration', durationMs, tags);
      if (result.type === 'refused') {
        const { outcome, reason } = result;
        base.logger.event('requestRefused', { requestId: plan.requestId, service: plan.service, outcome, reason });
      }
    },
  });
  return { requests, waitingFor: routing.waitingFor, close: () => routing.close() };
};

/** Whether the graceful shutdown has started. */
interface DrainState {
  draining: boolean;
}

const createCallersHandler =
  (base: Base, requests: RequestService, drainState: DrainState) =>
  async (exchange: HttpExchange): Promise<void> => {
    const { path, response } = exchange;
    if (drainState.draining) {
      // Makes callers and the load balancer open their next connection to another host.
      response.setHeader('connection', 'close');
    }
    const service = exchange.request.method === 'POST' ? matchServicePath(path) : undefined;
    if (service !== undefined) {
      await handleCallerRequest(exchange, service, requests);
    } else if (path === '/healthz') {
      sendJson(response, STATUS_OK, { status: 'live' });
    } else if (path === '/readyz') {
      const ready = !drainState.draining && base.control.ready();
      sendJson(response, ready ? STATUS_OK : STATUS_UNAVAILABLE, { ready, draining: drainState.draining });
    } else {
      sendJson(response, STATUS_NOT_FOUND, { error: `no resource at ${path}` });
    }
  };

interface DrainParts {
  readonly requests: RequestService;
  readonly claims: ClaimRegistry;
  readonly drainState: DrainState;
  readonly close: () => Promise<void>;
  readonly abort: () => void;
}

const wireDrain = (base: Base, { requests, claims, drainState, close, abort }: DrainParts): (() => Promise<void>) => {
  const state = drainState;
  return createDrain({
    ...base,
    ...base.settings.drain,
    onStart: () => {
      state.draining = true;
      base.control.announceLeaving();
    },
    inFlight: () => requests.inFlight(),
    idle: () => requests.idle(),
    flush: (limitMs) => claims.flush(limitMs),
    close,
    abort,
  });
};

const readStatus = (base: Base, { requests, waitingFor }: RequestParts, drainState: DrainState): HostStatus => {
  const { id: hostId, failureDomain, region } = base.settings.host;
  const services = base.config.list();
  const poolNames = services.flatMap(({ document }) => document.stages.map(({ pool }) => pool));
  return {
    hostId,
    failureDomain,
    region,
    ready: !drainState.draining && base.control.ready(),
    draining: drainState.draining,
    inFlight: requests.inFlight(),
    entryHosts: base.control.liveHosts().map((peer) => peer.hostId),
    services: services.map(({ document, version }) => ({
      service: document.service,
      version,
      stages: document.stages.map(({ name, pool }) => ({ stage: name, pool })),
    })),
    pools: readPools(poolNames, { viewPool: base.directory.viewPool, waiting: waitingFor, region }),
    configFindings: base.control.findings(),
    lostDomains: base.control.lostDomains(),
  };
};

const startPeerServer = (base: Base): PeerServer =>
  createPeerServer({
    auth: base.auth,
    onRefused: (reason, remoteAddress) => base.logger.event('peerCallRefused', { reason, remoteAddress }),
  });

const listen = (base: Base, port: number, handler: (exchange: HttpExchange) => Promise<void>): Promise<HttpServer> =>
  createHttpServer(handler, {
    address: base.settings.host.address,
    port,
    onError: (error) => base.logger.event('processFailed', { error: error.message }),
    onRefused: (refusal) => base.logger.event('connectionRefused', { ...refusal, port }),
  });

interface StopParts {
  readonly requests: RequestService;
  readonly claims: ClaimRegistry;
  readonly poison: PoisonGuard;
  readonly closeRequests: () => void;
  readonly callers: HttpServer;
  readonly peers: HttpServer;
  readonly planner: Planner;
}

/** Creates the ways to stop the host: `close` closes the parts in order, `abort` drops the connections at once. */
const createStop = (base: Base, { requests, claims, poison, closeRequests, callers, peers, planner }: StopParts) => {
  const close = async (): Promise<void> => {
    base.hostList.close();
    base.directory.close();
    closeRequests();
    poison.close();
    base.control.close();
    await Promise.all([planner.close(), callers.close(), peers.close(), base.metrics.close()]);
    claims.close();
    requests.close();
    base.http.close();
    base.store.close();
    base.tracer.close();
  };
  const abort = (): void => {
    base.control.abort();
    claims.close();
    callers.abort();
    peers.abort();
    base.http.close();
    base.store.close();
    close().catch(() => undefined);
  };
  return { close, abort };
};

/**
 * Creates and starts an entry host.
 *
 * @param settings - validated settings
 * @param options - parts that tests replace
 * @returns the running host, once it listens and has tried to read its configuration
 */
export default async function startEntryHost(settings: Settings, options: EntryHostOptions = {}): Promise<EntryHost> {
  const base = createBase(settings, options);
  const peerServer = startPeerServer(base);
  const peerParts = { ...base, peers: base.peerClient, peerServer, directory: base.control, hostId: settings.host.id };
  const limits = { maxSegments: settings.claims?.maxSegmentsPerShard };
  const claims = createClaimRegistry({ ...peerParts, limits });
  const isDown = createDownCheck(base.http, base.directory);
  const poison = createPoisonGuard({ ...peerParts, isDown });
  const requestParts = createRequests(base, { claims, poison, peers: base.control });
  const { requests, close: closeRequests } = requestParts;
  const drainState: DrainState = { draining: false };
  let drain: () => Promise<void> = () => Promise.resolve();
  registerOperatorMethods(peerServer, {
    status: () => readStatus(base, requestParts, drainState),
    trace: base.tracer.findTrace,
    drain: () => {
      drain().catch(() => undefined);
    },
  });
  await base.hostList.start();
  const peers = await startOnFreePort({
    port: settings.peers.port,
    listen: () => listen(base, settings.peers.port, (exchange) => peerServer.handle(exchange)),
    bind: (port) => base.control.start(port, peerServer),
  });
  poison.start();
  const callers = await listen(base, settings.callers.port, createCallersHandler(base, requests, drainState));
  const planner = startPlanner(base, base.control);
  const { close, abort } = createStop(base, { requests, claims, poison, closeRequests, callers, peers, planner });
  drain = wireDrain(base, { requests, claims, drainState, close, abort });
  base.logger.event('hostStarted', { callersPort: callers.port, peersPort: peers.port });
  return {
    callersPort: callers.port,
    peersPort: peers.port,
    drain,
    close,
    abort,
    setPeerKeys: base.auth.setKeys,
  };
}
