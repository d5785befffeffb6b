import type { Route, RouteOrganisation, RouteTable } from '@bergamotcove/config';
import findPermittedRegions from './findPermittedRegions.js';

/** Faults in the regions that a route table names. */
export interface ResidencyReview {
  /** Named regions that do not exist. */
  readonly unknown: readonly string[];
  /** Routes and organisations, or pairs of them, whose requests no region may serve. */
  readonly unserved: readonly string[];
}

/**
 * Finds the routes and organisations whose requests no existing region may serve. Pairs are listed only when each of the
 * two could be served alone.
 *
 * @param table - route table
 * @param known - regions that exist
 * @returns unknown regions and unserved routes and organisations
 */
export default function reviewResidency(
  { routes, organisations = [] }: Pick<RouteTable, 'routes' | 'organisations'>,
  known: readonly string[],
): ResidencyReview {
  type Scope = Pick<Route | RouteOrganisation, 'name' | 'homeRegions'>;
  const isServed = (regions: readonly string[] | undefined): boolean =>
    regions === undefined || regions.some((region) => known.includes(region));
  const restricted = (scopes: readonly Scope[]) => scopes.filter(({ homeRegions }) => homeRegions !== undefined);
  const served = (scopes: readonly Scope[]) => restricted(scopes).filter(({ homeRegions }) => isServed(homeRegions));
  const unserved = (scopes: readonly Scope[]) => scopes.filter(({ homeRegions }) => !isServed(homeRegions));
  const named = [...routes, ...organisations].flatMap(({ homeRegions }) => homeRegions ?? []);
  return {
    unknown: [...new Set(named)].filter((region) => !known.includes(region)),
    unserved: [
      ...unserved(routes).map(({ name }) => `route ${name}`),
      ...unserved(organisations).map(({ name }) => `organisation ${name}`),
      ...served(routes).flatMap((route) =>
        served(organisations)
          .filter((organisation) => !isServed(findPermittedRegions(route, organisation)))
          .map(({ name }) => `route ${route.name} of organisation ${name}`),
      ),
    ],
  };
}
