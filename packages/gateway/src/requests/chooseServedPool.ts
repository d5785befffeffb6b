import { choosePool } from '@bergamotcove/decide';
import type { BackendDirectory } from '../catalogue/BackendDirectory.js';
import type { Residency } from '../residency/createResidency.js';
import type { ForwardRequest } from './types.js';

/** Dependencies of {@link chooseServedPool}. */
export interface PoolChoicePorts {
  readonly directory: Pick<BackendDirectory, 'list'>;
  readonly residency: Pick<Residency, 'findRegions'>;
  readonly random: () => number;
}

/**
 * Chooses the pool of a request by the weights of its route. For a request that only some regions may serve, pools
 * without a server there are left out while there are others.
 *
 * @param request - request with its route
 * @param ports - server directory and permitted regions
 * @returns name of the pool; empty for a route without one
 */
export default function chooseServedPool(
  request: ForwardRequest,
  { directory, residency, random }: PoolChoicePorts,
): string {
  const { origin, route } = request;
  if (origin !== undefined) {
    return origin.pool;
  }
  const regions = residency.findRegions(request);
  const served = route.pools.filter(
    ({ pool }) => regions === undefined || directory.list(pool).some(({ region }) => regions.includes(region)),
  );
  return choosePool(served.length > 0 ? served : route.pools, random()) ?? '';
}
