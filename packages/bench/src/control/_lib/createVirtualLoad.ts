import type { Clock } from '@bergamotcove/clock';
import type { ServerDescription } from '@bergamotcove/decide';
import type { ServerLoad } from '@bergamotcove/backends';
import createLoadHost, { type LoadHostBench } from './createLoadHost.js';
import type { VirtualFleet, VirtualHost } from './createVirtualFleet.js';

/** Load reports of every host of a virtual fleet. */
export interface VirtualLoad {
  readonly servers: readonly ServerDescription[];
  /** Load reports of the hosts, in the order of the fleet. */
  readonly hosts: readonly LoadHostBench[];
  /** Hosts that poll a server now, found by its polls of the last `windowMs`. */
  pollersOf(serverId: string, windowMs: number): ReadonlySet<string>;
  /** Changes the load of every server; a report made earlier shows the earlier one. */
  setRunning(count: number): void;
}

const SERVER_LATENCY_MS = 1;
const TIMEOUT_MS = 400;
const POOLS = 4;

const wait = (clock: Clock, delayMs: number): Promise<void> =>
  new Promise((resolve) => {
    clock.schedule(delayMs, resolve);
  });

const createServers = (fleet: VirtualFleet, serversPerHost: number): readonly ServerDescription[] =>
  fleet.hosts.flatMap(({ address: { hostId, failureDomain, region } }) =>
    Array.from({ length: serversPerHost }, (_, index) => ({
      serverId: `${hostId}-server-${index}`,
      address: hostId,
      port: index,
      pool: `pool-${index % POOLS}`,
      failureDomain,
      region,
      state: 'live' as const,
    })),
  );

/**
 * Starts the load reports of the daemon on every host of a virtual fleet, with servers that are cut off together with
 * their failure domain.
 *
 * @param fleet - hosts and network
 * @param options - servers for each host, and the servers that the hosts use
 * @returns servers and views
 */
export default function createVirtualLoad(
  fleet: VirtualFleet,
  options: { readonly serversPerHost: number; readonly isUsed?: (serverId: string) => boolean },
): VirtualLoad {
  const servers = createServers(fleet, options.serversPerHost);
  const polls: { readonly hostId: string; readonly serverId: string; readonly atMs: number }[] = [];
  let running = 1;

  const fetchLoad = async (host: VirtualHost, server: ServerDescription): Promise<ServerLoad> => {
    const { clock, address } = host;
    polls.push({ hostId: address.hostId, serverId: server.serverId, atMs: clock.monotonicMs() });
    const load = { running, queued: 0, tokensPerSecond: 100, reportedAtMs: clock.wallMs() };
    const target = { ...address, hostId: server.serverId, failureDomain: server.failureDomain, region: server.region };
    if (fleet.network.faults.isCut(address, target)) {
      await wait(clock, TIMEOUT_MS);
      throw new Error('the poll timed out');
    }
    await wait(clock, SERVER_LATENCY_MS);
    return load;
  };

  const hosts = fleet.hosts.map((host) =>
    createLoadHost({
      clock: host.clock,
      random: fleet.random,
      self: host.address,
      servers: () => servers,
      liveHosts: () => host.membership.liveHosts(),
      link: () => host.membership,
      fetchLoad: (server) => fetchLoad(host, server),
      isUsed: options.isUsed ?? (() => true),
    }),
  );
  hosts.forEach(({ reports }) => reports.start());
  return {
    servers,
    hosts,
    pollersOf: (serverId, windowMs) => {
      const sinceMs = fleet.clock.monotonicMs() - windowMs;
      const recent = polls.filter((one) => one.serverId === serverId && one.atMs > sinceMs);
      return new Set(recent.map(({ hostId }) => hostId));
    },
    setRunning: (count) => {
      running = count;
    },
  };
}
