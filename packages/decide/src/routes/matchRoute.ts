import type { Route } from '@bergamotcove/config';
import type { RouteIndex } from './indexRoutes.js';

/**
 * Finds the route of a request: among the routes of its host, the one with the longest prefix of its path.
 *
 * @param index - route index
 * @param host - host name as the caller sent it
 * @param path - path with its query
 * @returns the route, or undefined
 * @example
 * matchRoute(index, 'a.example', '/drafts/17?full=1');
 */
export default function matchRoute(index: RouteIndex, host: string, path: string): Route | undefined {
  const query = path.indexOf('?');
  const bare = query === -1 ? path : path.slice(0, query);
  return index.routesByHost.get(host)?.find((route) => bare.startsWith(route.pathPrefix));
}
