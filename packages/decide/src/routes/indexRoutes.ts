import type { PoolSpec, Route, RouteOrganisation, RouteTable } from '@bergamotcove/config';

/** A route table with its lookup maps. */
export interface RouteIndex {
  readonly table: RouteTable;
  /** Routes by host name, longest path prefix first. */
  readonly routesByHost: ReadonlyMap<string, readonly Route[]>;
  readonly pools: ReadonlyMap<string, PoolSpec>;
  readonly organisationsByKey: ReadonlyMap<string, RouteOrganisation>;
}

/**
 * Indexes a route table for lookups by host name, pool name and key.
 *
 * @param table - route table
 * @returns the index
 * @example
 * const index = indexRoutes(table);
 */
export default function indexRoutes(table: RouteTable): RouteIndex {
  const routesByHost = new Map<string, Route[]>();
  table.routes.forEach((route) => {
    const routes = routesByHost.get(route.host) ?? [];
    routes.push(route);
    routesByHost.set(route.host, routes);
  });
  routesByHost.forEach((routes) => routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length));
  const organisations = table.organisations ?? [];
  return {
    table,
    routesByHost,
    pools: new Map(table.pools.map((pool) => [pool.name, pool])),
    organisationsByKey: new Map(
      organisations.flatMap((organisation) => organisation.keys.map((key) => [key, organisation] as const)),
    ),
  };
}
