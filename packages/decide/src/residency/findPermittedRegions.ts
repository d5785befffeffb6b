import type { Route, RouteOrganisation } from '@bergamotcove/config';
import isPermitted from './isPermitted.js';

/**
 * Finds the regions that may serve the requests of an organisation on a route. When both name regions, a region must be
 * named by both.
 *
 * @param route - route of the requests
 * @param organisation - organisation of the caller's key; undefined without one
 * @returns the regions, possibly none; undefined when any region may serve them
 * @example
 * findPermittedRegions({ homeRegions: ['r1', 'r2'] }, { homeRegions: ['r2', 'r3'] }); // ['r2']
 */
export default function findPermittedRegions(
  route: Pick<Route, 'homeRegions'>,
  organisation: Pick<RouteOrganisation, 'homeRegions'> | undefined,
): readonly string[] | undefined {
  return route.homeRegions === undefined
    ? organisation?.homeRegions
    : route.homeRegions.filter((region) => isPermitted(organisation?.homeRegions, region));
}
