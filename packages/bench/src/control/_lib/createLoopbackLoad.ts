import { subscribe, unsubscribe } from 'node:diagnostics_channel';
import type { Socket } from 'node:net';
import { createSystemClock, type Clock, type Timer } from '@bergamotcove/clock';
import type { ServerDescription } from '@bergamotcove/decide';
import { createMembership, type Membership } from '@bergamotcove/membership';
import { fetchLoad } from '@bergamotcove/backends';
import { decodeMessage, type PeerAddress } from '@bergamotcove/protocol';
import { startStageServer, type StageServerStandin } from '@bergamotcove/standins';
import {
  createDatagramSocket,
  createHttpClient,
  createPeerAuth,
  TransportError,
  type DatagramSocket,
  type HttpClient,
  type PeerClient,
} from '@bergamotcove/transport';
import createLoadHost, { type LoadHostBench } from './createLoadHost.js';

/** Counters of one host since its start. */
export interface LoadCounters {
  readonly polls: number;
  /** Bytes of summaries with signature, UDP and IP. */
  readonly sentBytes: number;
  readonly receivedBytes: number;
  readonly largestBytes: number;
}

/** One host of the loopback fleet. */
export interface LoopbackHost {
  readonly address: PeerAddress;
  readonly view: LoadHostBench;
  counters(): LoadCounters;
}

/** Hosts and servers in one process over loopback sockets. */
export interface LoopbackLoad {
  readonly hosts: readonly LoopbackHost[];
  readonly servers: readonly ServerDescription[];
  /** Bytes that all polls together wrote to and read from their connections, without TCP and IP headers. */
  pollBytes(): number;
  close(): Promise<void>;
}

const ADDRESS = '127.0.0.1';
const REGION = 'region-0';
const SIGNATURE_BYTES = 36;
const UDP_AND_IP_BYTES = 28;
const LIST_MS = 1_000;
const TIMEOUT_MS = 400;
const KEYS = [{ id: 'k1', secret: 'measurement-peer-secret' }];

/** Whole views are not exchanged; the hosts learn each other from the list. */
const NO_CALLS: PeerClient = {
  call: () => Promise.reject(new TransportError('not-connected', 'calls are left out of this measurement')),
};

const sizeOf = (message: Uint8Array): number => message.length + SIGNATURE_BYTES + UDP_AND_IP_BYTES;

interface Shared {
  readonly clock: Clock;
  readonly http: HttpClient;
  readonly servers: readonly ServerDescription[];
}

interface Traffic {
  sentBytes: number;
  receivedBytes: number;
  largestBytes: number;
  sendsSummary: boolean;
}

/** Membership of one host over a real socket, with the bytes of its summaries counted. */
const startMembership = async (clock: Clock, place: Pick<PeerAddress, 'hostId' | 'failureDomain'>) => {
  const traffic: Traffic = { sentBytes: 0, receivedBytes: 0, largestBytes: 0, sendsSummary: false };
  let receive: (message: Uint8Array) => void = () => undefined;
  const auth = createPeerAuth({ clock, keys: KEYS });
  const onMessage = (message: Uint8Array): void => {
    traffic.receivedBytes += decodeMessage(message).message.type === 'summary' ? sizeOf(message) : 0;
    receive(message);
  };
  const socket = await createDatagramSocket({ address: ADDRESS, port: 0, auth, onMessage });
  const address: PeerAddress = { ...place, address: ADDRESS, peersPort: socket.port, region: REGION };
  const membership = createMembership({
    clock,
    logger: { event: () => undefined },
    random: Math.random,
    self: address,
    peerClient: NO_CALLS,
    send: (to, message) => {
      if (traffic.sendsSummary) {
        traffic.sentBytes += sizeOf(message);
        traffic.largestBytes = Math.max(traffic.largestBytes, sizeOf(message));
      }
      socket.send({ address: to.address, port: to.peersPort }, message);
    },
  });
  receive = (message) => membership.receive(message);
  return { address, membership, socket, traffic };
};

const countSends = (membership: Membership, traffic: Traffic) => {
  const counted = traffic;
  const mark = (run: () => void): void => {
    counted.sendsSummary = true;
    run();
    counted.sendsSummary = false;
  };
  return {
    news: membership.news,
    broadcastSummary: (topic: string, payload: Uint8Array) => mark(() => membership.broadcastSummary(topic, payload)),
    sendSummary: (topic: string, payload: Uint8Array, hostIds: readonly string[]) =>
      mark(() => membership.sendSummary(topic, payload, hostIds)),
  };
};

const startHost = ({ clock, http, servers }: Shared, parts: Awaited<ReturnType<typeof startMembership>>) => {
  const { address, membership, traffic } = parts;
  const link = countSends(membership, traffic);
  const view = createLoadHost({
    clock,
    random: Math.random,
    self: address,
    servers: () => servers,
    liveHosts: () => membership.liveHosts(),
    link: () => link,
    fetchLoad: (server) => fetchLoad(http, server, { timeoutMs: TIMEOUT_MS }),
    isUsed: () => true,
  });
  view.reports.start();
  return { address, view, counters: () => ({ ...traffic, polls: view.polls() }) };
};

const startServers = async (clock: Clock, domains: readonly string[], count: number) => {
  const running: StageServerStandin[] = [];
  const servers: ServerDescription[] = [];
  for (const failureDomain of domains) {
    for (let index = 0; index < count; index += 1) {
      const serverId = `${failureDomain}-server-${index}`;
      const options = { clock, serverId, kind: 'encode', serviceMs: 1 } as const;
      const server = await startStageServer({ address: ADDRESS, port: 0 }, options);
      running.push(server);
      const place = { address: ADDRESS, port: server.port, failureDomain, region: REGION };
      servers.push({ serverId, pool: `pool-${index % 34}`, state: 'live', ...place });
    }
  }
  return { running, servers };
};

/** Sums the bytes of the connections to the servers, those of closed connections included. */
const countSockets = (servers: readonly ServerDescription[]) => {
  const ports = new Set(servers.map(({ port }) => port));
  const sockets: Socket[] = [];
  const add = (message: unknown): void => {
    sockets.push((message as { readonly socket: Socket }).socket);
  };
  subscribe('net.client.socket', add);
  return {
    bytes: () =>
      sockets
        .filter((socket) => socket.remotePort === undefined || ports.has(socket.remotePort))
        .reduce((sum, socket) => sum + socket.bytesRead + socket.bytesWritten, 0),
    close: () => unsubscribe('net.client.socket', add),
  };
};

/** Repeats the host list to all members until it is closed. */
const repeatList = (clock: Clock, memberships: readonly Membership[], addresses: readonly PeerAddress[]) => {
  let timer: Timer;
  const run = (): void => {
    memberships.forEach((membership) => membership.setListed(addresses.map((host) => ({ host, leaving: false }))));
    timer = clock.schedule(LIST_MS, run);
  };
  run();
  return { close: () => timer.close() };
};

/**
 * Starts load reports and memberships of the daemon over loopback sockets, and stand-ins of the servers.
 *
 * @param options - failure domains of one region, hosts and servers in each
 * @returns the running fleet
 */
export default async function createLoopbackLoad(options: {
  readonly domains: number;
  readonly hosts: number;
  readonly servers: number;
}): Promise<LoopbackLoad> {
  const clock = createSystemClock();
  const http = createHttpClient();
  const domains = Array.from({ length: options.domains }, (_, index) => `domain-${index}`);
  const { running, servers } = await startServers(clock, domains, options.servers);
  const sockets = countSockets(servers);
  const places = domains.flatMap((failureDomain) =>
    Array.from({ length: options.hosts }, (_, index) => ({ hostId: `${failureDomain}-entry-${index}`, failureDomain })),
  );
  const members = await Promise.all(places.map((place) => startMembership(clock, place)));
  const memberships = members.map(({ membership }) => membership);
  const addresses = members.map(({ address }) => address);
  memberships.forEach((membership) => membership.start());
  const list = repeatList(clock, memberships, addresses);
  const hosts = members.map((member) => startHost({ clock, http, servers }, member));
  const close = async (): Promise<void> => {
    hosts.forEach(({ view }) => view.reports.close());
    list.close();
    sockets.close();
    memberships.forEach((membership) => membership.close());
    members.forEach(({ socket }: { readonly socket: DatagramSocket }) => socket.close());
    http.close();
    await Promise.all(running.map((server) => server.close()));
  };
  return { hosts, servers, pollBytes: sockets.bytes, close };
}
