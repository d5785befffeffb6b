import type { Route } from '@bergamotcove/config';
import type { RouteIndex } from './indexRoutes.js';

/**
 * Finds the route of a request: among the routes of its host name, the one whose path prefix is the longest match. The
 * query is not part of the path.
 *
 * @param index - route index
 * @param host - host name as the caller sent it
 * @param path - path with its query
 * @returns the route, or undefined if none matches
 * @example
 * matchRoute(index, 'a.example', '/drafts/17?full=1');
 */
export default function matchRoute(index: RouteIndex, host: string, path: string): Route | undefined {
  const queryStart = path.indexOf('?');
  const pathname = queryStart === -1 ? path : path.slice(0, queryStart);
  return index.routesByHost.get(host)?.find((route) => pathname.startsWith(route.pathPrefix));
}
