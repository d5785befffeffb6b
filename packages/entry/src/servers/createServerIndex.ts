import type { ServerDescription } from '@bergamotcove/decide';
import type { ListedHost } from '@bergamotcove/protocol';

/** The host list, arranged for the questions that each request asks. */
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
 * Arranges the host list by pools. A choice of a server needs one pool of many, so the list is arranged once for each
 * change and not for each choice.
 *
 * @param hosts - the host list
 * @param leaving - servers that said themselves that they are leaving
 * @returns the index
 * @example
 * const index = createServerIndex(list.hosts, leaving);
 */
export default function createServerIndex(hosts: readonly ListedHost[], leaving: ReadonlySet<string>): ServerIndex {
  const servers = hosts.filter((host) => host.role === 'server').map((host) => toServer(host, leaving.has(host.id)));
  const pools = new Map<string, ServerDescription[]>();
  const poolOf = new Map<string, string>();
  servers.forEach((server) => {
    const pool = pools.get(server.pool) ?? [];
    pool.push(server);
    pools.set(server.pool, pool);
    poolOf.set(server.serverId, server.pool);
  });
  return {
    servers,
    entryHosts: hosts.filter((host) => host.role === 'entry'),
    listPool: (pool) => pools.get(pool) ?? [],
    findPool: (serverId) => poolOf.get(serverId),
  };
}
