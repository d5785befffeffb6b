/** Facts that the value of a request depends on. */
export interface ValueFacts {
  /** Rank of the route; 0 goes first. */
  readonly routePriority: number;
  /** Rank of the organisation, which takes precedence; undefined when it has none. */
  readonly organisationPriority: number | undefined;
  readonly sizeTokens: number;
  /** Mean size of the requests of its route. */
  readonly meanSizeTokens: number;
}

/** Worth of an answer that is late, compared with one on time. */
export const LATE_VALUE = 0.15;

/** Requests of a route count as much as this number of requests of a route of the next rank. */
const ROUTE_FACTOR = 5;
/** Larger than any ratio of values within one organisation's rank. */
const ORGANISATION_FACTOR = 100;
/** Part of the value that does not depend on the size. */
const BASE_SHARE = 0.3;
const MAX_VALUE_RATIO = 4;

/**
 * Values a request against others that want the same servers: by the rank of its organisation, then by that of its
 * route. Larger requests of a route count more, so that they are not the ones that are always given up under overload,
 * but less than their cost would ask for.
 *
 * @param facts - ranks and size
 * @returns the value; 1 for a request of mean size of the first ranks
 * @example
 * valueRequest({ routePriority: 1, organisationPriority: undefined, sizeTokens: 500, meanSizeTokens: 1_000 });
 */
export default function valueRequest(facts: ValueFacts): number {
  const { routePriority, organisationPriority = routePriority, sizeTokens, meanSizeTokens } = facts;
  const ratio = BASE_SHARE + (1 - BASE_SHARE) * (sizeTokens / Math.max(1, meanSizeTokens));
  const rank = ORGANISATION_FACTOR ** -organisationPriority * ROUTE_FACTOR ** -routePriority;
  return rank * Math.min(MAX_VALUE_RATIO, ratio);
}
