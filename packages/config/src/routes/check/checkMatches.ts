import type { Route, RouteOrganisation, RouteTable } from '../types.js';
import type { RouteFinding } from './types.js';

const checkPrefix = (route: Route, index: number, routes: readonly Route[]): readonly RouteFinding[] => {
  const { name, host, pathPrefix } = route;
  const entry = `route ${name}`;
  const first = routes.findIndex((other) => other.host === host && other.pathPrefix === pathPrefix);
  const twin = routes.findIndex((other) => other.name === name);
  return [
    ...(first < index
      ? [
          {
            severity: 'error',
            entry,
            message: `never matches: route ${routes[first]?.name} has the same host and prefix and comes first`,
          } as const,
        ]
      : []),
    ...(pathPrefix.startsWith('/')
      ? []
      : [
          {
            severity: 'error',
            entry,
            message: `never matches: the prefix "${pathPrefix}" does not begin with a slash`,
          } as const,
        ]),
    ...(twin < index ? [{ severity: 'warning', entry, message: 'another route has the same name' } as const] : []),
  ];
};

/** The last organisation that has a key gets its requests. */
const checkKeys = (organisations: readonly RouteOrganisation[]): readonly RouteFinding[] => {
  const owners = new Map(organisations.flatMap(({ name, keys }) => keys.map((key) => [key, name] as const)));
  return organisations.flatMap(({ name, keys }): readonly RouteFinding[] => {
    const entry = `organisation ${name}`;
    const lost = [...new Set(keys.map((key) => owners.get(key) ?? name))].filter((owner) => owner !== name);
    return [
      ...lost.map(
        (owner) =>
          ({
            severity: 'error',
            entry,
            message: `shares a key with organisation ${owner}, which gets its requests`,
          }) as const,
      ),
      ...(keys.length === 0 ? [{ severity: 'warning', entry, message: 'has no key' } as const] : []),
    ];
  });
};

const checkRegions = (route: Route, organisations: readonly RouteOrganisation[]): readonly RouteFinding[] => {
  const { homeRegions, keyless, name } = route;
  return homeRegions === undefined || keyless
    ? []
    : organisations
        .filter((other) => other.homeRegions?.every((region) => !homeRegions.includes(region)) === true)
        .map((other) => ({
          severity: 'warning',
          entry: `route ${name}`,
          message: `has no region in common with organisation ${other.name}, so all its requests are refused`,
        }));
};

/**
 * Checks which requests the entries of a table match.
 *
 * @param table - the table
 * @returns the findings: routes and keys that never match, and regions with nothing in common
 */
export default function checkMatches({
  routes,
  organisations = [],
}: Pick<RouteTable, 'routes' | 'organisations'>): readonly RouteFinding[] {
  return [
    ...routes.flatMap(checkPrefix),
    ...checkKeys(organisations),
    ...routes.flatMap((route) => checkRegions(route, organisations)),
  ];
}
