/** Moving averages of request sizes by route. */
export interface SizeAverages {
  /** Adds a request and returns the average of its route, this request included. */
  note(route: string, size: number): number;
}

/** Weight of a new request in the moving average. */
const SMOOTHING_WEIGHT = 0.03;
/** Number of requests up to which the average is the arithmetic mean. */
const WARM_UP_COUNT = 1 / SMOOTHING_WEIGHT;

/**
 * Creates moving averages of request sizes.
 *
 * @returns the averages, empty
 */
export default function createSizeAverages(): SizeAverages {
  const means = new Map<string, { mean: number; count: number }>();
  return {
    note: (route, size) => {
      const known = means.get(route) ?? { mean: 0, count: 0 };
      const count = Math.min(WARM_UP_COUNT, known.count + 1);
      const mean = known.mean + (size - known.mean) / count;
      means.set(route, { mean, count });
      return mean;
    },
  };
}
