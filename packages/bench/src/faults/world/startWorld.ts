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

/** One entry host of a world with the links that carry its traffic. */
export interface WorldHost {
  readonly hostId: string;
  readonly failureDomain: string;
  readonly process: HostProcess;
  /** Link of callers to this host. */
  readonly callers: Link;
  readonly store: Link;
  readonly hostList: HostListStandin;
  /** Links to the entry hosts that this host is partitioned from, by host id. */
  readonly peers: ReadonlyMap<string, Link>;
  /** Links to backend servers by server id; empty when they are reached directly. */
  readonly servers: ReadonlyMap<string, Link>;
}

/** Test environment of one run: stand-ins, entry hosts and the links between them. */
export interface World {
  readonly clock: Clock;
  readonly store: StoreStandin;
  readonly hosts: readonly WorldHost[];
  /** Ids of the hosts that crashed; their links stay cut. */
  readonly crashedHosts: Set<string>;
  readonly servers: readonly WorldServer[];
  /** Number of executions of the `once` stage by idempotency key. */
  readonly executions: ReadonlyMap<string, number>;
  /** Ids of the servers that refuse work because they are leaving. */
  readonly leavingServers: Set<string>;
  /**
   * Publishes the state of all servers in the host list: `leavingServers` as leaving, the others as live. The host
   * list lags behind: it names a leaving server only after this call.
   */
  publishLeavingServers(): void;
  close(): Promise<void>;
}

/** Options of {@link startWorld}. */
export interface WorldOptions {
  readonly variant: Variant;
  /** Whether the first entry host runs as a separate process. */
  readonly separateFirstHost: boolean;
  /** Whether only one failure domain has servers instead of two, so that all requests of a pool go to one server. */
  readonly singleServers: boolean;
  /**
   * Whether traffic to backend servers goes through links. A link accepts connections even while its server is down,
   * so worlds in which no server link is cut connect directly.
   */
  readonly linkServers: boolean;
  /**
   * Whether the run partitions two hosts from each other. Peer calls are signed for the address that is dialled, so a
   * link cannot carry them: such a pair has no peer calls from the start. All other peers reach each other directly.
   */
  readonly isPeerCut: (hostId: string, otherId: string) => boolean;
  readonly drain: { readonly balancerLagMs: number; readonly timeoutMs: number };
  readonly onServerPoint: (point: ServerPoint) => Promise<void> | void;
  readonly onStorePoint: (point: StorePoint) => Promise<void> | void;
}

interface HostPlacement {
  readonly hostId: string;
  readonly failureDomain: string;
}

const REGION = 'matrix-region';
const HOST_PLACEMENTS: readonly HostPlacement[] = [
  { hostId: 'host-0', failureDomain: 'domain-0' },
  { hostId: 'host-1', failureDomain: 'domain-0' },
  { hostId: 'host-2', failureDomain: 'domain-1' },
];
const STORE_TIMEOUT_MS = 250;
/** The set-up is not part of the run and may take longer on a busy machine. */
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

const describeHost = (placement: HostPlacement, callersPort: number, peerPort: number): StandinHost => ({
  id: placement.hostId,
  role: 'entry',
  address: ADDRESS,
  port: callersPort,
  peerPort,
  failureDomain: placement.failureDomain,
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

interface SharedParts {
  readonly clock: Clock;
  readonly store: StoreStandin;
  readonly servers: readonly WorldServer[];
}

const REVISIONS_PER_HOST = 1_000_000;

const startWorldHost = async (
  placement: HostPlacement,
  shared: SharedParts,
  options: WorldOptions,
): Promise<WorldHost> => {
  const others = HOST_PLACEMENTS.filter((other) => options.isPeerCut(placement.hostId, other.hostId));
  const [store, callers, servers, peers] = await Promise.all([
    createLink(shared.store.port),
    createLink(),
    createLinks(
      options.linkServers ? shared.servers : [],
      (server) => server.serverId,
      (server) => server.server.port,
    ),
    createLinks(
      others,
      (other) => other.hostId,
      () => 0,
    ),
  ]);
  const described = shared.servers.map((server) => describeServer(server, servers.get(server.serverId)));
  const listen = { address: ADDRESS, port: 0 };
  // Each host has its own host list, which names its own links. Distinct revision ranges keep the hosts from sharing
  // changes of the lists with each other.
  const revision = 1 + HOST_PLACEMENTS.indexOf(placement) * REVISIONS_PER_HOST;
  const hostList = await startHostList(listen, { hosts: described, clock: shared.clock, revision });
  const settings = {
    host: { id: placement.hostId, address: ADDRESS, failureDomain: placement.failureDomain, region: REGION },
    callers: { port: 0 },
    store: { urls: [`http://${ADDRESS}:${store.port}`], timeoutMs: STORE_TIMEOUT_MS },
    hostList: { url: `http://${ADDRESS}:${hostList.port}/v1/hosts`, pollMs: HOST_LIST_POLL_MS },
    drain: options.drain,
    log: { namespaces: 'bergamot:*:error' },
  };
  const separate = options.separateFirstHost && placement === HOST_PLACEMENTS[0];
  const process = await startOnFreePort(findPeerPort, (port) =>
    startHost({ ...settings, peers: { port, keys: PEER_KEYS } }, { separate }),
  );
  callers.setTarget(process.callersPort);
  return { ...placement, process, callers, store, hostList, peers, servers };
};

/** Publishes the servers and the entry hosts in the host list of every host, with the ports of its links. */
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
  // The hosts discover each other at their next poll of the host list.
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
 * @param options - variant, topology, drain settings and observers
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
  const hosts = await Promise.all(
    HOST_PLACEMENTS.map((placement) => startWorldHost(placement, { clock, store, servers }, options)),
  );
  publishHosts(hosts, servers);
  await waitUntilReady(clock, hosts);
  const leavingServers = new Set<string>();
  return {
    leavingServers,
    publishLeavingServers: () => publishHosts(hosts, servers, leavingServers),
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
