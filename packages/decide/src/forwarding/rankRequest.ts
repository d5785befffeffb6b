/** Ranks of routes that are told apart within one rank of an organisation. */
const ROUTE_RANKS = 3;

/**
 * Ranks a request: by the rank of its organisation, which takes precedence, then by that of its route.
 *
 * @param routePriority - rank of the route; 0 goes first
 * @param organisationPriority - rank of the organisation, if it has one
 * @returns the rank; 0 goes first
 * @example
 * rankRequest(2, 0) < rankRequest(0, 1); // true
 */
export default function rankRequest(routePriority: number, organisationPriority: number | undefined): number {
  const first = organisationPriority ?? routePriority;
  return first * ROUTE_RANKS + Math.min(routePriority, ROUTE_RANKS - 1);
}
