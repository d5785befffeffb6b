/** Properties that the value of a request depends on. */
export interface ValueFacts {
  /** Rank of the route; 0 is the highest. */
  readonly routePriority: number;
  /** Rank of the organisation, which takes precedence; undefined when it has none. */
  readonly organisationPriority: number | undefined;
  readonly sizeTokens: number;
  /** Mean size of the requests of its route. */
  readonly meanSizeTokens: number;
}

/** Value of a late answer relative to one on time. */
export const LATE_VALUE = 0.15;

/** Ratio between the values of requests of two consecutive route ranks. */
const ROUTE_FACTOR = 5;
/** Ratio between the values of two consecutive organisation ranks; larger than any ratio within one of these ranks. */
const ORGANISATION_FACTOR = 100;
/** Part of the value that is independent of the size. */
const SIZE_INDEPENDENT_SHARE = 0.3;
const MAX_SIZE_FACTOR = 4;

/**
 * Computes the value of a request relative to others that compete for the same servers, by the rank of its
 * organisation, then by that of its route. Larger requests of a route have a higher value, so that an overload does not
 * always shed them first, but the value grows less than their cost.
 *
 * @param facts - ranks and size
 * @returns the value; 1 for a request of mean size with the highest ranks
 * @example
 * valueRequest({ routePriority: 1, organisationPriority: undefined, sizeTokens: 500, meanSizeTokens: 1_000 });
 */
export default function valueRequest(facts: ValueFacts): number {
  const { routePriority, organisationPriority = routePriority, sizeTokens, meanSizeTokens } = facts;
  const sizeFactor = SIZE_INDEPENDENT_SHARE + (1 - SIZE_INDEPENDENT_SHARE) * (sizeTokens / Math.max(1, meanSizeTokens));
  const rankFactor = ORGANISATION_FACTOR ** -organisationPriority * ROUTE_FACTOR ** -routePriority;
  return rankFactor * Math.min(MAX_SIZE_FACTOR, sizeFactor);
}
