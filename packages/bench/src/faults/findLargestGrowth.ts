/** One reading of a counter that only grows. */
export interface CounterSample {
  readonly atMs: number;
  readonly value: number;
}

/**
 * Finds the largest growth of a counter in any window of the given length.
 *
 * @param samples - readings in chronological order
 * @param windowMs - length of the window
 * @returns the growth; 0 for fewer than two readings
 * @example
 * findLargestGrowth([{ atMs: 0, value: 0 }, { atMs: 100, value: 40 }], 2_000); // 40
 */
export default function findLargestGrowth(samples: readonly CounterSample[], windowMs: number): number {
  let first = 0;
  return samples.reduce((largest, last) => {
    while ((samples[first] as CounterSample).atMs < last.atMs - windowMs) {
      first += 1;
    }
    return Math.max(largest, last.value - (samples[first] as CounterSample).value);
  }, 0);
}
