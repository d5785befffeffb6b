import { createSystemClock, type Clock } from '@bergamotcove/clock';
import type { Settings } from '@bergamotcove/config';
import { createLogger, type Logger } from '@bergamotcove/log';
import { createStoreClient, fetchHostList, type StoreClient } from '@bergamotcove/platform';
import type { HostStatus } from '@bergamotcove/protocol';
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
import createClaimBook from './claims/createClaimBook.js';
import type { ClaimBook } from './claims/types.js';
import createConfigHolder, { type ConfigHolder } from './config/createConfigHolder.js';
import createDrain from './drain/createDrain.js';
import registerOperatorMethods from './operators/registerOperatorMethods.js';
import type { EntryHostView, PeerDirectory } from './peers/types.js';
import createDownCheck from './poison/createDownCheck.js';
import createPoisonGuard, { type PoisonGuard } from './poison/createPoisonGuard.js';
import createDispatcher from './requests/createDispatcher.js';
import createStatusQuery from './requests/createStatusQuery.js';
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
  readonly config: ConfigHolder;
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
  const store = createStoreClient({
    ...settings.store,
    onCall: (call, result) => metrics.report('store.calls', 1, { call, result }),
  });
  const { url, pollMs } = settings.hostList;
  const fetchList = () => fetchHostList(http, { url, timeoutMs: settings.store.timeoutMs });
  return {
    settings,
    clock,
    logger,
    metrics,
    http,
    auth,
    peerClient: createPeerClient(http, { auth }),
    store,
    tracer: createTracer({ hostId, sampleRatio: settings.trace.sampleRatio }),
    directory: createServerDirectory({ clock, logger, pollMs, fetchList }),
    config: createConfigHolder({ clock, logger, store }),
  };
};

const createRequests = (base: Base, claims: ClaimBook, poison: PoisonGuard): RequestService => {
  const { failureDomain, region } = base.settings.host;
  return createRequestService({
    clock: base.clock,
    config: base.config,
    claims,
    poison,
    queryStatus: createStatusQuery(base.http, base.directory),
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
    if (drainState.draining) {
      // Callers and the balancer open their next connection elsewhere.
      response.setHeader('connection', 'close');
    }
    const service = exchange.request.method === 'POST' ? matchServicePath(path) : undefined;
    if (service !== undefined) {
      await handleCallerRequest(exchange, service, requests);
    } else if (path === '/healthz') {
      sendJson(response, STATUS_OK, { status: 'live' });
    } else if (path === '/readyz') {
      const ready = !drainState.draining && base.config.list().length > 0;
      sendJson(response, ready ? STATUS_OK : STATUS_UNAVAILABLE, { ready, draining: drainState.draining });
    } else {
      sendJson(response, STATUS_NOT_FOUND, { error: `no resource at ${path}` });
    }
  };

/** Live entry hosts according to the host list; this host is always among them. */
const createPeerDirectory = (base: Base): PeerDirectory => {
  const { host, peers } = base.settings;
  const self: EntryHostView = { ...host, hostId: host.id, peersPort: peers.port };
  return {
    liveHosts: () => {
      const listed = base.directory
        .listEntryHosts()
        .filter((entry) => entry.state === 'live')
        .map((entry): EntryHostView => ({ ...entry, hostId: entry.id, peersPort: entry.peerPort ?? 0 }));
      return listed.some((entry) => entry.hostId === self.hostId) ? listed : [...listed, self];
    },
  };
};

interface DrainParts {
  readonly requests: RequestService;
  readonly claims: ClaimBook;
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
    },
    inFlight: () => requests.inFlight(),
    idle: () => requests.idle(),
    flush: (limitMs) => claims.flush(limitMs),
    close,
    abort,
  });
};

const readStatus = (
  base: Base,
  requests: RequestService,
  peerDirectory: PeerDirectory,
  drainState: DrainState,
): HostStatus => {
  const { id: hostId, failureDomain, region } = base.settings.host;
  const services = base.config.list();
  return {
    hostId,
    failureDomain,
    region,
    ready: !drainState.draining && services.length > 0,
    draining: drainState.draining,
    inFlight: requests.inFlight(),
    entryHosts: peerDirectory.liveHosts().map((peer) => peer.hostId),
    services: services.map(({ document, version }) => ({ service: document.service, version })),
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
  });

/**
 * Builds and starts an entry host.
 *
 * @param settings - checked settings
 * @param options - parts that tests replace
 * @returns the running host, once it listens and has tried to read its configuration
 */
export default async function startEntryHost(settings: Settings, options: EntryHostOptions = {}): Promise<EntryHost> {
  const base = createBase(settings, options);
  const peerDirectory = createPeerDirectory(base);
  const peerServer = startPeerServer(base);
  const peerParts = { ...base, peers: base.peerClient, peerServer, directory: peerDirectory, hostId: settings.host.id };
  const claims = createClaimBook(peerParts);
  const isDown = createDownCheck(base.http, base.directory);
  const requests = createRequests(base, claims, createPoisonGuard({ ...peerParts, isDown }));
  const drainState: DrainState = { draining: false };
  let drain: () => Promise<void> = () => Promise.resolve();
  registerOperatorMethods(peerServer, {
    status: () => readStatus(base, requests, peerDirectory, drainState),
    trace: base.tracer.findTrace,
    drain: () => {
      drain().catch(() => undefined);
    },
  });
  await Promise.all([base.directory.start(), base.config.start()]);
  const peers = await listen(base, settings.peers.port, (exchange) => peerServer.handle(exchange));
  const callers = await listen(base, settings.callers.port, createCallersHandler(base, requests, drainState));
  const close = async (): Promise<void> => {
    base.directory.close();
    base.config.close();
    await Promise.all([callers.close(), peers.close(), base.metrics.close()]);
    claims.close();
    requests.close();
    base.http.close();
    base.store.close();
    base.tracer.close();
  };
  const abort = (): void => {
    claims.close();
    callers.abort();
    peers.abort();
    base.http.close();
    base.store.close();
    close().catch(() => undefined);
  };
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
