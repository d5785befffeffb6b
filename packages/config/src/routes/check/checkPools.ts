import type { Route, RouteTable } from '../types.js';
import type { RouteFinding } from './types.js';

const checkWeights = ({ name, pools }: Route): readonly RouteFinding[] => {
  const entry = `route ${name}`;
  if (pools.length === 0 || pools.every(({ weight }) => weight === 0)) {
    return [{ severity: 'error', entry, message: 'no pool has a weight above 0, so no request is served' }];
  }
  return pools.flatMap(({ pool, weight }): readonly RouteFinding[] => {
    if (weight < 0) {
      return [{ severity: 'error', entry, message: `pool ${pool} has the negative weight ${weight}` }];
    }
    return weight === 0 ? [{ severity: 'warning', entry, message: `pool ${pool} has weight 0 and gets nothing` }] : [];
  });
};

/**
 * Checks which pools the routes of a table name.
 *
 * @param table - the table
 * @returns the findings: pools that do not exist, have no stage servers, get nothing, or are there twice
 */
export default function checkPools({ routes, pools }: Pick<RouteTable, 'routes' | 'pools'>): readonly RouteFinding[] {
  const byName = new Map(pools.map((pool) => [pool.name, pool]));
  const lastIndex = new Map(pools.map(({ name }, index) => [name, index]));
  const named = new Set(routes.flatMap((route) => [...route.pools, ...route.stages].map(({ pool }) => pool)));
  const ofRoutes = routes.flatMap((route) => {
    const entry = `route ${route.name}`;
    const missing = [...new Set([...route.pools, ...route.stages].map(({ pool }) => pool))]
      .filter((pool) => !byName.has(pool))
      .map((pool): RouteFinding => ({ severity: 'error', entry, message: `pool ${pool} does not exist` }));
    const idle = route.stages
      .filter(({ pool }) => byName.has(pool) && byName.get(pool)?.batch === undefined)
      .map(({ pool }): RouteFinding => ({
        severity: 'error',
        entry,
        message: `pool ${pool} runs no pieces of stages`,
      }));
    return [...checkWeights(route), ...missing, ...idle];
  });
  const ofPools = pools.flatMap((pool, index): readonly RouteFinding[] => {
    const entry = `pool ${pool.name}`;
    if (lastIndex.get(pool.name) !== index) {
      return [{ severity: 'error', entry, message: `entry ${index} is replaced by a later one of the same name` }];
    }
    return named.has(pool.name) ? [] : [{ severity: 'warning', entry, message: 'no route sends requests to it' }];
  });
  return [...ofRoutes, ...ofPools];
}
