/** Mean sizes of requests by route. */
export interface SizeBook {
  /** Notes a request and returns the mean of its route, the request included. */
  note(route: string, size: number): number;
}

/** Weight of one request in the mean. */
const WEIGHT = 0.03;
/** Requests until which the mean is a plain one. */
const WARM_UP = 1 / WEIGHT;

/**
 * Creates the book of mean sizes.
 *
 * @returns the book
 */
export default function createSizeBook(): SizeBook {
  const means = new Map<string, { mean: number; count: number }>();
  return {
    note: (route, size) => {
      const known = means.get(route) ?? { mean: 0, count: 0 };
      const count = Math.min(WARM_UP, known.count + 1);
      const mean = known.mean + (size - known.mean) / count;
      means.set(route, { mean, count });
      return mean;
    },
  };
}
