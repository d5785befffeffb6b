import { createSystemClock, type Clock } from '@bergamotcove/clock';
import type { Settings } from '@bergamotcove/config';
import { createLogger, type Logger } from '@bergamotcove/log';
import { createGuardedStore, createStoreClient, fetchHostList, type StoreClient } from '@bergamotcove/platform';
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
  type PeerKey,
  type PeerServer,
} from '@bergamotcove/transport';
import handleCallerRequest, { matchServicePath } from './callers/handleCallerRequest.js';
import createClaimBook from './claims/createClaimBook.js';
import createConfigHolder, { type ConfigHolder, type DocumentSink } from './config/createConfigHolder.js';
import registerOperatorMethods from './operators/registerOperatorMethods.js';
import createControlPlane, { type ControlPlane } from './peers/createControlPlane.js';
import createDispatcher from './requests/createDispatcher.js';
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
  /** Drops every connection at once, as a crash does. */
  abort(): void;
  /** Replaces the peer keys; the first one signs. */
  setPeerKeys(keys: readonly PeerKey[]): void;
}

/** Parts that tests replace. */
export interface EntryHostOptions {
  readonly clock?: Clock;
}

/** Parts that every other part is built from. */
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
  readonly directory: ServerDirectory;
  readonly config: ConfigHolder & DocumentSink;
  readonly control: ControlPlane;
}

const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_UNAVAILABLE = 503;

const createBase = (settings: Settings, options: EntryHostOptions): Base => {
  const clock = options.clock ?? createSystemClock();
  const { id: hostId, failureDomain } = settings.host;
  const logger = createLogger('entry', { hostId, failureDomain });
  const metrics = createMetrics({ hostId, ...settings.metrics });
  const http = createHttpClient();
  const auth = createPeerAuth({ clock, keys: settings.peers.keys });
  const client = createStoreClient({
    ...settings.store,
    onCall: (call, result) => metrics.report('store.calls', 1, { call, result }),
  });
  const store = createGuardedStore(client, { clock, random: Math.random });
  const { url, pollMs } = settings.hostList;
  const fetchList = () => fetchHostList(http, { url, timeoutMs: settings.store.timeoutMs });
  const directory = createServerDirectory({ clock, logger, pollMs, fetchList });
  const config = createConfigHolder({ logger });
  const peerClient = createPeerClient(http, { auth });
  const { listEntryHosts } = directory;
  return {
    settings,
    clock,
    logger,
    metrics,
    http,
    auth,
    peerClient,
    store,
    tracer: createTracer({ hostId, sampleRatio: settings.trace.sampleRatio }),
    directory,
    config,
    control: createControlPlane({ settings, clock, logger, auth, peerClient, store, config, listEntryHosts }),
  };
};

const createRequests = (base: Base): RequestService => {
  const { failureDomain, region } = base.settings.host;
  return createRequestService({
    clock: base.clock,
    config: base.config,
    claims: createClaimBook(base.store),
    tracer: base.tracer,
    dispatch: createDispatcher({ ...base, random: Math.random, failureDomain, region }),
    onFinished: (plan, result, durationMs) => {
      const tags = { service: plan.service, result: result.type };
      base.metrics.report('request.count', 1, tags);
      base.metrics.report('request.duration', durationMs, tags);
      if (result.type === 'refused') {
        const { outcome, reason } = result;
        base.logger.event('requestRefused', { requestId: plan.requestId, service: plan.service, outcome, reason });
      }
    },
  });
};

/** State of a planned stop. */
interface DrainState {
  draining: boolean;
}

const createCallersHandler =
  (base: Base, requests: RequestService, drainState: DrainState) =>
  async (exchange: HttpExchange): Promise<void> => {
    const { path, response } = exchange;
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

const createDrain = (base: Base, requests: RequestService, drainState: DrainState, close: () => Promise<void>) => {
  const wait = (delayMs: number): Promise<void> =>
    new Promise((resolve) => {
      base.clock.schedule(delayMs, resolve);
    });
  return async (): Promise<void> => {
    const { balancerLagMs, timeoutMs } = base.settings.drain;
    const state = drainState;
    state.draining = true;
    base.control.announceLeaving();
    base.logger.event('drainStarted', { inFlight: requests.inFlight() });
    await wait(balancerLagMs);
    const result = await Promise.race([requests.idle(), wait(timeoutMs).then(() => 'timeout' as const)]);
    base.logger.event(result === 'timeout' ? 'drainTimedOut' : 'drainFinished', { inFlight: requests.inFlight() });
    await close();
  };
};

const listen = (base: Base, port: number, handler: (exchange: HttpExchange) => Promise<void>): Promise<HttpServer> =>
  createHttpServer(handler, {
    address: base.settings.host.address,
    port,
    onError: (error) => base.logger.event('processFailed', { error: error.message }),
  });

/** Parts that operators ask about. */
interface OperatedParts {
  readonly requests: RequestService;
  readonly drainState: DrainState;
  readonly drain: () => Promise<void>;
}

const createPeerMethods = (base: Base, parts: OperatedParts): PeerServer => {
  const { requests, drainState, drain } = parts;
  const { id: hostId, failureDomain, region } = base.settings.host;
  const peerServer = createPeerServer({
    auth: base.auth,
    onRefused: (reason, remoteAddress) => base.logger.event('peerCallRefused', { reason, remoteAddress }),
  });
  registerOperatorMethods(peerServer, {
    status: () => ({
      hostId,
      failureDomain,
      region,
      ready: !drainState.draining && base.control.ready(),
      draining: drainState.draining,
      inFlight: requests.inFlight(),
      entryHosts: base.control.liveHosts().map((peer) => peer.hostId),
      services: base.config.list().map(({ document, version }) => ({ service: document.service, version })),
      configFindings: base.control.findings(),
      lostDomains: base.control.lostDomains(),
    }),
    trace: base.tracer.findTrace,
    drain: () => {
      drain().catch(() => undefined);
    },
  });
  return peerServer;
};

/**
 * Builds and starts an entry host.
 *
 * @param settings - checked settings
 * @param options - parts that tests replace
 * @returns the running host, once it listens and has tried to read its configuration
 */
export default async function startEntryHost(settings: Settings, options: EntryHostOptions = {}): Promise<EntryHost> {
  const base = createBase(settings, options);
  const requests = createRequests(base);
  const drainState: DrainState = { draining: false };
  let drain: () => Promise<void> = () => Promise.resolve();
  const peerServer = createPeerMethods(base, { requests, drainState, drain: () => drain() });
  await base.directory.start();
  const peers = await listen(base, settings.peers.port, (exchange) => peerServer.handle(exchange));
  await base.control.start(peers.port, peerServer);
  const callers = await listen(base, settings.callers.port, createCallersHandler(base, requests, drainState));
  const close = async (): Promise<void> => {
    base.directory.close();
    base.control.close();
    await Promise.all([callers.close(), peers.close(), base.metrics.close()]);
    base.http.close();
    base.store.close();
    base.tracer.close();
  };
  drain = createDrain(base, requests, drainState, close);
  base.logger.event('hostStarted', { callersPort: callers.port, peersPort: peers.port });
  return {
    callersPort: callers.port,
    peersPort: peers.port,
    drain,
    close,
    setPeerKeys: base.auth.setKeys,
    abort: () => {
      base.control.abort();
      callers.abort();
      peers.abort();
      base.http.close();
      base.store.close();
      close().catch(() => undefined);
    },
  };
}
