import http from 'node:http';
import { createStoreClient, followStore, type StoreDialect, type StoreEntry } from '@bergamotcove/backends';
import { createSystemClock, type Clock } from '@bergamotcove/clock';
import { createWindowBudget, type WindowBudget } from '@bergamotcove/decide';
import { createDrain, createPoolQueues } from '@bergamotcove/entry';
import { createLogger, type Logger } from '@bergamotcove/log';
import { createLinkClient, createLinkServer, type LinkServer, type Target } from '@bergamotcove/transport';
import createCallerServer, { type CallerServer } from './callers/createCallerServer.js';
import createBackendDirectory, {
  type BackendDirectory,
  type StoredServer,
} from './catalogue/createBackendDirectory.js';
import createRouteTableHolder, { type RouteTableHolder } from './catalogue/createRouteTableHolder.js';
import createHostRegistry, { type HostRegistry } from './hosts/createHostRegistry.js';
import createHostSync from './hosts/createHostSync.js';
import type { GatewayFormats } from './ports.js';
import createRequestHandler from './requests/createRequestHandler.js';
import createServerPools from './servers/createServerPools.js';
import type { GatewaySettings } from './settings.js';
import createBatchOwners from './stages/createBatchOwners.js';
import createStageClient from './stages/createStageClient.js';

/** A running gateway. */
export interface Gateway {
  readonly callersPort: number;
  /** Finishes the requests in flight, then stops. */
  drain(): Promise<void>;
  close(): Promise<void>;
}

/** What the gateway is built with. */
export interface GatewayOptions {
  readonly formats: GatewayFormats;
  readonly storeDialect: StoreDialect;
  readonly clock?: Clock;
}

const LINK_LIMITS = { connectLimitMs: 300, pingMs: 200, silenceLimitMs: 700 };
const STORE_TIMEOUT_MS = 1_000;
/** The balancer asks each second and takes two failures to stop sending new connections here. */
const BALANCER_LAG_MS = 2_200;
/** Part of the grace that is kept for the end of the process. */
const STOP_RESERVE_MS = 500;
/** Share of the fleet's slack that the hosts use together; the rest covers hosts that are not listed yet. */
const SLACK_SHARE = 0.8;

/** Offers what the store holds to the parts that keep it. */
const followCatalogue = (
  formats: GatewayFormats,
  parts: { readonly tables: RouteTableHolder; readonly directory: BackendDirectory; readonly hosts: HostRegistry },
) => {
  const { routeTableKey, serverPrefix, hostPrefix } = formats.catalogue;
  const { tables, directory, hosts } = parts;
  const toServer = ({ key, value, modRevision }: StoreEntry): StoredServer => ({
    serverId: key.slice(serverPrefix.length),
    text: value,
    revision: Number(modRevision),
  });
  const put = (entry: StoreEntry): void => {
    if (entry.key === routeTableKey) {
      tables.offer({ text: entry.value, revision: Number(entry.modRevision) }, 'store');
    } else if (entry.key.startsWith(serverPrefix)) {
      directory.put(toServer(entry));
    } else if (entry.key.startsWith(hostPrefix)) {
      hosts.put(entry.key, entry.value);
    }
  };
  const replace = (entries: readonly StoreEntry[], revision: string): void => {
    entries.filter(({ key }) => key === routeTableKey).forEach(put);
    const servers = entries.filter(({ key }) => key.startsWith(serverPrefix)).map(toServer);
    directory.replace({ servers, revision: Number(revision) });
    const listed = entries.filter(({ key }) => key.startsWith(hostPrefix));
    hosts.replace(listed.map(({ key, value }) => ({ key, text: value })));
  };
  const remove = (key: string, revision: string): void => {
    if (key.startsWith(serverPrefix)) {
      directory.remove(key.slice(serverPrefix.length), Number(revision));
    } else if (key.startsWith(hostPrefix)) {
      hosts.remove(key);
    }
  };
  return { put, replace, remove };
};

/** Listens on the first of the ports that is free. */
const listenForPeers = async (
  settings: GatewaySettings,
  listen: (port: number) => Promise<LinkServer>,
): Promise<LinkServer> => {
  const [firstPort, lastPort] = settings.peerPorts;
  for (let port = firstPort; port < lastPort; port += 1) {
    try {
      // One port after the other.
      // eslint-disable-next-line no-await-in-loop
      return await listen(port);
    } catch {
      // The port is taken.
    }
  }
  return listen(lastPort);
};

const startHealthServer = (target: Target, isReady: () => boolean): Promise<http.Server> => {
  const server = http.createServer((_, response) => {
    const ready = isReady();
    response.writeHead(ready ? 200 : 503, { 'Content-Length': 0 });
    response.end();
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(target.port, target.address, () => resolve(server));
  });
};

const createRetryBudgets = (settings: GatewaySettings, clock: Clock, hosts: HostRegistry) => {
  const budgets = new Map<string, WindowBudget>();
  const { ratio, slack, windowMs } = settings.retries;
  const find = (pool: string): WindowBudget => {
    const budget = budgets.get(pool) ?? createWindowBudget(windowMs);
    budgets.set(pool, budget);
    return budget;
  };
  return {
    noteRequest: (pool: string): void => find(pool).noteRequest(clock.monotonicMs()),
    spend: (pool: string): boolean => {
      const share = (slack * SLACK_SHARE) / hosts.list().length;
      return find(pool).spend(1, { ratio, slack: share, windowMs }, clock.monotonicMs());
    },
  };
};

/**
 * Builds and starts a gateway.
 *
 * @param settings - checked settings
 * @param options - formats and the wire format of the store
 * @returns the running gateway, once it listens
 */
export default async function startGateway(settings: GatewaySettings, options: GatewayOptions): Promise<Gateway> {
  const clock = options.clock ?? createSystemClock();
  const { formats } = options;
  const { id: hostId, address, failureDomain, regions } = settings.host;
  const region = regions[failureDomain] ?? failureDomain;
  const logger: Logger = createLogger('gateway', { hostId, failureDomain });
  const store = createStoreClient({
    urls: [`http://${settings.store.address}:${settings.store.port}`],
    timeoutMs: STORE_TIMEOUT_MS,
    dialect: options.storeDialect,
  });
  const tables = createRouteTableHolder({ clock, logger, format: formats.catalogue });
  const directory = createBackendDirectory({ clock, logger, format: formats.catalogue, regions });
  const links = createLinkClient({ clock, ...LINK_LIMITS });
  const owners = createBatchOwners({ clock, logger, format: formats.stages, directory, tables, region });
  let hosts: HostRegistry | undefined;
  const methods: Record<string, (params: unknown) => unknown> = {};
  const linkServer = await listenForPeers(settings, (port) =>
    createLinkServer({
      address,
      port,
      methods: { ...owners.methods, 'hosts.sync': (params) => methods['hosts.sync']?.(params) },
      onError: (error) => logger.event('peerMessageInvalid', { error: error.message }),
    }),
  );
  const self = {
    hostId,
    target: { address, port: linkServer.port },
    failureDomain,
    region,
    startId: `${clock.wallMs()}`,
  };
  hosts = createHostRegistry({ clock, logger, store, prefix: formats.catalogue.hostPrefix, self });
  const sync = createHostSync({ clock, logger, hosts, links, tables, directory, random: Math.random });
  Object.assign(methods, sync.methods);
  const pools = createServerPools({ clock, logger, directory, tables, hosts, failureDomain, region });
  const queues = createPoolQueues(clock);
  const budgets = createRetryBudgets(settings, clock, hosts);
  directory.onChange(() => queues.drainAll());
  const handler = createRequestHandler({
    clock,
    logger,
    directory,
    pools,
    queues,
    stages: createStageClient({ clock, logger, hosts, links, local: owners }),
    format: formats.requests,
    failureDomain,
    random: Math.random,
    spendRetry: budgets.spend,
    tables,
    onAccepted: ({ route }) => route.pools.forEach(({ pool }) => budgets.noteRequest(pool)),
    onEnded: (request, end) => {
      logger.event('requestEnded', {
        requestId: request.requestId,
        route: request.route.name,
        version: request.version,
        organisation: request.organisation?.name,
        ...end,
      });
    },
  });
  const callers: CallerServer = await createCallerServer({
    ...settings.callers,
    clock,
    onRequest: handler,
    onInvalid: (reason) => logger.event('callerMessageInvalid', { reason }),
  });
  tables.onChange(({ table }) => callers.setLimits(table.limits));
  const catalogue = followCatalogue(formats, { tables, directory, hosts });
  const follower = followStore({
    clock,
    random: Math.random,
    store,
    prefix: '',
    onSnapshot: catalogue.replace,
    onPut: catalogue.put,
    onDelete: catalogue.remove,
    onLost: (reason) => {
      directory.noteStore('lost');
      logger.event('storeUnavailable', { reason });
    },
    onFound: () => {
      directory.noteStore('found');
      logger.event('storeRecovered', {});
    },
  });
  hosts.start();
  sync.start();
  let draining = false;
  const health = await startHealthServer(settings.health, () => !draining && tables.current() !== undefined);
  logger.event('hostStarted', { callersPort: callers.port, peersPort: linkServer.port });
  const registry = hosts;
  const close = async (): Promise<void> => {
    follower.close();
    sync.close();
    await registry.leave();
    callers.close();
    health.close();
    health.closeAllConnections();
    owners.close();
    linkServer.close();
    links.close();
    queues.close();
    pools.close();
    directory.close();
    store.close();
  };
  const drain = createDrain({
    clock,
    logger,
    balancerLagMs: BALANCER_LAG_MS,
    timeoutMs: settings.stop.graceMs - BALANCER_LAG_MS - STOP_RESERVE_MS,
    onStart: () => {
      draining = true;
      registry.leave().catch(() => undefined);
      callers.drain();
    },
    inFlight: () => callers.openRequests(),
    idle: () =>
      new Promise((resolve) => {
        const poll = (): void => {
          if (callers.openRequests() === 0) {
            resolve();
          } else {
            clock.schedule(50, poll);
          }
        };
        poll();
      }),
    flush: () => Promise.resolve(0),
    close,
    abort: () => undefined,
  });
  return { callersPort: callers.port, drain, close };
}
