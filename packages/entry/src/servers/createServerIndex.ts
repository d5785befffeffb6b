import type { ServerDescription } from '@bergamotcove/decide';
import type { ListedHost } from '@bergamotcove/protocol';

/** Index of the host list for the look-ups of each request. */
export interface ServerIndex {
  readonly servers: readonly ServerDescription[];
  readonly entryHosts: readonly ListedHost[];
  /** Servers of a pool. */
  listPool(pool: string): readonly ServerDescription[];
  /** Pool of a server; undefined for a server that is not listed. */
  findPool(serverId: string): string | undefined;
}

const toServer = (host: ListedHost, leaving: boolean): ServerDescription => ({
  serverId: host.id,
  address: host.address,
  port: host.port,
  pool: host.pool ?? '',
  failureDomain: host.failureDomain,
  region: host.region,
  state: leaving ? 'leaving' : host.state,
});

/**
 * Indexes the host list by pool. A choice of a server needs one pool of many, so the index is built once for each change
 * of the list and not for each choice.
 *
 * @param hosts - the host list
 * @param leaving - ids of servers that have announced themselves that they are leaving
 * @returns the index
 * @example
 * const index = createServerIndex(list.hosts, leaving);
 */
export default function createServerIndex(hosts: readonly ListedHost[], leaving: ReadonlySet<string>): ServerIndex {
  const servers = hosts.filter((host) => host.role === 'server').map((host) => toServer(host, leaving.has(host.id)));
  const pools = new Map<string, ServerDescription[]>();
  const poolByServerId = new Map<string, string>();
  servers.forEach((server) => {
    const pool = pools.get(server.pool) ?? [];
    pool.push(server);
    pools.set(server.pool, pool);
    poolByServerId.set(server.serverId, server.pool);
  });
  return {
    servers,
    entryHosts: hosts.filter((host) => host.role === 'entry'),
    listPool: (pool) => pools.get(pool) ?? [],
    findPool: (serverId) => poolByServerId.get(serverId),
  };
}
