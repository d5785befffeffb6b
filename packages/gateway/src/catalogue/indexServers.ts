import type { KnownServer } from './BackendDirectory.js';

/** Servers by pool and by address. */
export interface ServerIndex {
  /** Servers that may get new work. */
  readonly pools: ReadonlyMap<string, readonly KnownServer[]>;
  /** All servers, by `IP:PORT`. */
  readonly byAddress: ReadonlyMap<string, KnownServer>;
  /** Pools with live servers in evacuated failure domains. */
  readonly evacuatedPools: ReadonlySet<string>;
}

/** Reasons for which a live server gets nothing new. */
export interface ServerChecks {
  readonly isExcluded: (server: KnownServer) => boolean;
  readonly isEvacuated: (server: KnownServer) => boolean;
}

/**
 * Indexes servers by pool and address.
 *
 * @param servers - listed servers, also those that are leaving
 * @param checks - which live servers get nothing new
 * @returns the index
 */
export default function indexServers(
  servers: readonly KnownServer[],
  { isExcluded, isEvacuated }: ServerChecks,
): ServerIndex {
  const pools = new Map<string, KnownServer[]>();
  const evacuatedPools = new Set<string>();
  servers
    .filter((server) => server.state === 'live' && !isExcluded(server))
    .forEach((server) => {
      if (isEvacuated(server)) {
        evacuatedPools.add(server.pool);
        return;
      }
      const listed = pools.get(server.pool);
      if (listed === undefined) {
        pools.set(server.pool, [server]);
      } else {
        listed.push(server);
      }
    });
  const byAddress = new Map(servers.map((server) => [`${server.address}:${server.port}`, server]));
  return { pools, byAddress, evacuatedPools };
}
