/** Facts that the value of a request depends on. */
export interface ValueFacts {
  /** Rank; 0 goes first. */
  readonly priority: number;
  readonly sizeTokens: number;
  /** Mean size of the requests of its route. */
  readonly meanSizeTokens: number;
}

/** Requests of one rank count as much as this number of requests of the next one. */
const RANK_FACTOR = 3;
/** Part of the value that does not depend on the size. */
const BASE_SHARE = 0.3;
const MAX_VALUE_RATIO = 4;

/**
 * Values a request against others that want the same servers. Larger requests of a route count more, so that they are
 * not the ones that are always given up under overload, but less than their cost would ask for.
 *
 * @param facts - rank and size
 * @returns the value; 1 for a request of mean size of the first rank
 * @example
 * valueRequest({ priority: 1, sizeTokens: 500, meanSizeTokens: 1_000 });
 */
export default function valueRequest({ priority, sizeTokens, meanSizeTokens }: ValueFacts): number {
  const ratio = BASE_SHARE + (1 - BASE_SHARE) * (sizeTokens / Math.max(1, meanSizeTokens));
  return RANK_FACTOR ** -priority * Math.min(MAX_VALUE_RATIO, ratio);
}
