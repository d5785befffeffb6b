import { createSystemClock, type Clock } from '@bergamotcove/clock';
import { acceptDocument, createStoreClient } from '@bergamotcove/backends';
import {
  startHostList,
  startStore,
  type HostListStandin,
  type ServerPoint,
  type StandinHost,
  type StorePoint,
  type StoreStandin,
} from '@bergamotcove/standins';
import { createHttpClient } from '@bergamotcove/transport';
import { ADDRESS } from '../constants.js';
import type { Variant } from '../types.js';
import createLink, { type Link } from './createLink.js';
import createMatrixDocument from './createMatrixDocument.js';
import findPeerPort from './findPeerPort.js';
import startOnFreePort from './startOnFreePort.js';
import startHost, { type HostProcess } from './startHost.js';
import startServers, { type WorldServer } from './startServers.js';

/** One entry host of a world with the links that its traffic takes. */
export interface WorldHost {
  readonly hostId: string;
  readonly failureDomain: string;
  readonly process: HostProcess;
  /** Link of callers to this host. */
  readonly callers: Link;
  readonly store: Link;
  readonly hostList: HostListStandin;
  /** Links to the entry hosts that this one is cut from, by host id. */
  readonly peers: ReadonlyMap<string, Link>;
  /** Links to backend servers by server id; empty when they are reached directly. */
  readonly servers: ReadonlyMap<string, Link>;
}

/** Everything of one run: stand-ins, entry hosts and the links between them. */
export interface World {
  readonly clock: Clock;
  readonly store: StoreStandin;
  readonly hosts: readonly WorldHost[];
  /** Hosts that crashed; their links stay cut. */
  readonly crashedHosts: Set<string>;
  readonly servers: readonly WorldServer[];
  /** Executions of the `once` stage by idempotency key. */
  readonly executions: ReadonlyMap<string, number>;
  /** Servers that refuse work because they leave. */
  readonly leavingServers: Set<string>;
  /** Lets the host list, which lags, name them as leaving; without any, all servers are shown as live. */
  listLeaving(): void;
  close(): Promise<void>;
}

/** Options of {@link startWorld}. */
export interface WorldOptions {
  readonly variant: Variant;
  /** Whether the first entry host runs as a separate process. */
  readonly separateFirstHost: boolean;
  /** One failure domain with servers instead of two, so that requests meet on one server. */
  readonly singleServers: boolean;
  /**
   * Whether traffic to backend servers takes links. A link accepts connections while its server is down, so worlds
   * in which no link is cut do without.
   */
  readonly linkServers: boolean;
  /**
   * Whether two hosts are to be cut from each other. Peer calls are signed for the address that is dialled, so a link
   * cannot carry them: such a pair has no peer calls from the start. All other peers reach each other directly.
   */
  readonly isPeerCut: (hostId: string, otherId: string) => boolean;
  readonly drain: { readonly balancerLagMs: number; readonly timeoutMs: number };
  readonly onServerPoint: (point: ServerPoint) => Promise<void> | void;
  readonly onStorePoint: (point: StorePoint) => Promise<void> | void;
}

interface Place {
  readonly hostId: string;
  readonly failureDomain: string;
}

const REGION = 'matrix-region';
const PLACES: readonly Place[] = [
  { hostId: 'host-0', failureDomain: 'domain-0' },
  { hostId: 'host-1', failureDomain: 'domain-0' },
  { hostId: 'host-2', failureDomain: 'domain-1' },
];
const STORE_TIMEOUT_MS = 250;
/** Set-up is no part of the run and may wait for a busy machine. */
const SETUP_TIMEOUT_MS = 10_000;
const HOST_LIST_POLL_MS = 50;
const READY_POLLS = 200;
const READY_POLL_MS = 15;
const PEER_KEYS = [{ id: 'k1', secret: 'fault-matrix-peer-secret' }];

const describeServer = (server: WorldServer, link: Link | undefined): StandinHost => ({
  id: server.serverId,
  role: 'server',
  address: ADDRESS,
  port: link?.port ?? server.server.port,
  pool: server.pool,
  failureDomain: server.failureDomain,
  region: REGION,
});

const describeHost = (place: Place, callersPort: number, peerPort: number): StandinHost => ({
  id: place.hostId,
  role: 'entry',
  address: ADDRESS,
  port: callersPort,
  peerPort,
  failureDomain: place.failureDomain,
  region: REGION,
});

const createLinks = async <Item>(
  items: readonly Item[],
  readId: (item: Item) => string,
  readPort: (item: Item) => number,
): Promise<ReadonlyMap<string, Link>> =>
  new Map(
    await Promise.all(
      items.map(async (item): Promise<[string, Link]> => [readId(item), await createLink(readPort(item))]),
    ),
  );

interface Surroundings {
  readonly clock: Clock;
  readonly store: StoreStandin;
  readonly servers: readonly WorldServer[];
}

const REVISIONS_PER_HOST = 1_000_000;

const startWorldHost = async (place: Place, around: Surroundings, options: WorldOptions): Promise<WorldHost> => {
  const others = PLACES.filter((other) => options.isPeerCut(place.hostId, other.hostId));
  const [store, callers, servers, peers] = await Promise.all([
    createLink(around.store.port),
    createLink(),
    createLinks(
      options.linkServers ? around.servers : [],
      (server) => server.serverId,
      (server) => server.server.port,
    ),
    createLinks(
      others,
      (other) => other.hostId,
      () => 0,
    ),
  ]);
  const described = around.servers.map((server) => describeServer(server, servers.get(server.serverId)));
  const listen = { address: ADDRESS, port: 0 };
  // Each host has a list of its own, with its own links; revisions of its own keep the hosts from sharing changes.
  const revision = 1 + PLACES.indexOf(place) * REVISIONS_PER_HOST;
  const hostList = await startHostList(listen, { hosts: described, clock: around.clock, revision });
  const settings = {
    host: { id: place.hostId, address: ADDRESS, failureDomain: place.failureDomain, region: REGION },
    callers: { port: 0 },
    store: { urls: [`http://${ADDRESS}:${store.port}`], timeoutMs: STORE_TIMEOUT_MS },
    hostList: { url: `http://${ADDRESS}:${hostList.port}/v1/hosts`, pollMs: HOST_LIST_POLL_MS },
    drain: options.drain,
    log: { namespaces: 'bergamot:*:error' },
  };
  const separate = options.separateFirstHost && place === PLACES[0];
  const process = await startOnFreePort(findPeerPort, (port) =>
    startHost({ ...settings, peers: { port, keys: PEER_KEYS } }, { separate }),
  );
  callers.setTarget(process.callersPort);
  return { ...place, process, callers, store, hostList, peers, servers };
};

/** Tells every host where the others are, through its own links. */
const publishHosts = (
  hosts: readonly WorldHost[],
  servers: readonly WorldServer[],
  leaving: ReadonlySet<string> = new Set(),
): void => {
  hosts.forEach((host) => {
    const entries = hosts.map((other) => {
      const link = host.peers.get(other.hostId);
      link?.setTarget(other.process.peersPort);
      return describeHost(other, other.process.callersPort, link?.port ?? other.process.peersPort);
    });
    const described = servers.map((server) => ({
      ...describeServer(server, host.servers.get(server.serverId)),
      state: leaving.has(server.serverId) ? ('leaving' as const) : ('live' as const),
    }));
    host.hostList.setHosts([...described, ...entries]);
  });
};

const acceptMatrixDocument = async (store: StoreStandin, variant: Variant): Promise<void> => {
  const client = createStoreClient({ urls: [`http://${ADDRESS}:${store.port}`], timeoutMs: SETUP_TIMEOUT_MS });
  const facts = { changeId: 'matrix', acceptedBy: 'matrix', acceptedAtMs: 0 };
  await acceptDocument(client, createMatrixDocument(variant), facts);
  client.close();
};

const waitUntilReady = async (clock: Clock, hosts: readonly WorldHost[]): Promise<void> => {
  const http = createHttpClient();
  const isReady = async (host: WorldHost): Promise<boolean> => {
    const target = { address: ADDRESS, port: host.process.callersPort };
    return (await http.send(target, { method: 'GET', path: '/readyz' })).status === 200;
  };
  for (let poll = 0; poll < READY_POLLS; poll += 1) {
    if ((await Promise.all(hosts.map(isReady))).every((ready) => ready)) {
      break;
    }
    await new Promise<void>((resolve) => {
      clock.schedule(READY_POLL_MS, resolve);
    });
  }
  http.close();
  // The hosts learn of each other at their next poll of the host list.
  await new Promise<void>((resolve) => {
    clock.schedule(HOST_LIST_POLL_MS + READY_POLL_MS, resolve);
  });
};

const closeHost = async (host: WorldHost): Promise<void> => {
  await host.process.close();
  [host.callers, host.store, ...host.peers.values(), ...host.servers.values()].forEach((link) => link.close());
  await host.hostList.close();
};

/**
 * Starts stand-ins and three entry hosts, two of them in one failure domain, over real loopback sockets.
 *
 * @param options - shape of the world and observers
 * @returns the world once every host is ready
 */
export default async function startWorld(options: WorldOptions): Promise<World> {
  const clock = createSystemClock();
  const store = await startStore({ address: ADDRESS, port: 0 }, { clock, observe: options.onStorePoint });
  const { servers, executions } = await startServers({
    clock,
    variant: options.variant,
    failureDomains: options.singleServers ? ['domain-0'] : ['domain-0', 'domain-1'],
    observe: options.onServerPoint,
  });
  await acceptMatrixDocument(store, options.variant);
  const hosts = await Promise.all(PLACES.map((place) => startWorldHost(place, { clock, store, servers }, options)));
  publishHosts(hosts, servers);
  await waitUntilReady(clock, hosts);
  const leavingServers = new Set<string>();
  return {
    leavingServers,
    listLeaving: () => publishHosts(hosts, servers, leavingServers),
    clock,
    store,
    hosts,
    crashedHosts: new Set(),
    servers,
    executions,
    close: async () => {
      await Promise.all(hosts.map(closeHost));
      await Promise.all([...servers.map(({ server }) => server.close()), store.close()]);
    },
  };
}
