import { isPermitted } from '@bergamotcove/decide';
import type { BackendDirectory, KnownServer } from '../catalogue/BackendDirectory.js';

/** Engines of a region, or of all regions when it has none. */
export interface SplitEngines {
  readonly permitted: readonly KnownServer[];
  /** Ids of the engines that must not get the generation. */
  readonly closedServers: readonly string[];
}

/**
 * Splits the engines that a region would use for a generation by whether their regions may serve it.
 *
 * @param directory - backend servers
 * @param region - region of the scheduler
 * @param need - pool, and regions that may serve the generation; undefined when any may
 * @returns the engines
 */
export default function splitEngines(
  directory: Pick<BackendDirectory, 'listNear'>,
  region: string,
  { pool, homeRegions }: { readonly pool: string; readonly homeRegions: readonly string[] | undefined },
): SplitEngines {
  const engines = directory.listNear(pool, region);
  if (homeRegions === undefined) {
    return { permitted: engines, closedServers: [] };
  }
  const permitted = engines.filter((engine) => isPermitted(homeRegions, engine.region));
  const closed = engines.filter((engine) => !isPermitted(homeRegions, engine.region));
  return { permitted, closedServers: closed.map(({ serverId }) => serverId) };
}
