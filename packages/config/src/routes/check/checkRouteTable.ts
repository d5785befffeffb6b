import type { RouteTable } from '../types.js';
import checkMatches from './checkMatches.js';
import checkPools from './checkPools.js';
import checkStages from './checkStages.js';
import checkTimes from './checkTimes.js';
import type { RouteFinding } from './types.js';

/**
 * Checks a route table before hosts get it.
 *
 * @param table - the table
 * @returns what cannot work or contradicts itself
 * @example
 * const errors = checkRouteTable(table).filter(({ severity }) => severity === 'error');
 */
export default function checkRouteTable(table: RouteTable): readonly RouteFinding[] {
  return [...checkMatches(table), ...checkPools(table), ...table.routes.flatMap(checkStages), ...checkTimes(table)];
}
