/** Number of distinct route ranks within one organisation rank. */
const ROUTE_RANKS = 3;

/**
 * Ranks a request by the rank of its organisation, then by that of its route.
 *
 * @param routePriority - rank of the route; 0 is the highest
 * @param organisationPriority - rank of the organisation; undefined when it has none and that of the route is used
 * @returns the rank; 0 is the highest
 * @example
 * rankRequest(2, 0) < rankRequest(0, 1); // true
 */
export default function rankRequest(routePriority: number, organisationPriority: number | undefined): number {
  const organisationRank = organisationPriority ?? routePriority;
  return organisationRank * ROUTE_RANKS + Math.min(routePriority, ROUTE_RANKS - 1);
}
