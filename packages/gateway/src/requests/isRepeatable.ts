import type { Route } from '@bergamotcove/config';
import { isResumable } from '../streams/createStreamOrigins.js';

/**
 * Whether the requests of a route may run more than once.
 *
 * @param route - route of a request
 * @returns false for requests that run at most once
 */
export default function isRepeatable(route: Pick<Route, 'kind' | 'resumable'>): boolean {
  return route.kind === 'idempotent' || isResumable(route);
}
