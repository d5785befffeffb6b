import type { PoolStatus } from '@bergamotcove/protocol';
import type { PoolView } from '@bergamotcove/decide';

/** Sources of the load of the pools. */
export interface PoolSources {
  readonly viewPool: (pool: string) => PoolView;
  /** Number of attempts of this host that wait for a server of the pool. */
  readonly waiting: (pool: string) => number;
  /** Region of this host. */
  readonly region: string;
}

/**
 * Reads the load of pools for the status of this host, from the servers in its region.
 *
 * @param pools - names of the pools; repeated names are read once
 * @param sources - sources of the load
 * @returns the load of each pool, sorted by name
 * @example
 * readPools(['encoders'], { viewPool: directory.viewPool, waiting: () => 0, region: 'lombardy' });
 */
export default function readPools(pools: readonly string[], sources: PoolSources): readonly PoolStatus[] {
  return [...new Set(pools)].sort().map((pool) => {
    const servers = sources.viewPool(pool).servers.filter(({ region }) => region === sources.region);
    return {
      pool,
      servers: servers.length,
      running: servers.reduce((sum, server) => sum + server.outstanding + server.othersOutstanding, 0),
      slots: servers.reduce((sum, server) => sum + server.slots, 0),
      waiting: sources.waiting(pool),
    };
  });
}
