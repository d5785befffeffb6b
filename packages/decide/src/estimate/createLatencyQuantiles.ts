import { build, type Histogram } from 'hdr-histogram-js';

/** Quantiles of recent latencies by key. */
export interface LatencyQuantiles {
  /** Adds a latency. */
  record(key: string, valueMs: number, nowMs: number): void;
  /** Returns a quantile in [0, 1] of the recent latencies, or undefined while there are too few of them. */
  quantile(key: string, quantile: number): number | undefined;
}

/** Histograms of the recent latencies of one key. */
interface Recent {
  readonly current: Histogram;
  readonly previous: Histogram | undefined;
  readonly startedAtMs: number;
  /** Quantiles that were read, with the number of values that they are based on. */
  readonly cache: Map<number, { readonly value: number; readonly count: number }>;
}

/**
 * Growth of the number of values after which a cached quantile is computed again. The cache is needed because computing
 * a quantile iterates over the histogram.
 */
const CACHE_GROWTH_FACTOR = 1.05;

/** Duration of one histogram. Values are dropped after one to two windows, so that the quantiles follow the load. */
const WINDOW_MS = 15_000;
/** Number of values that a histogram needs for its quantiles to be used. */
const MIN_VALUE_COUNT = 20;
const MAX_VALUE_MS = 600_000;
const PERCENT = 100;
/** Counters of 16 bits halve the memory; a histogram is replaced before one of its counters can overflow. */
const BITS_PER_COUNTER = 16;
const MAX_VALUE_COUNT = 2 ** BITS_PER_COUNTER - 1;

const newHistogram = (): Histogram =>
  build({
    bitBucketSize: BITS_PER_COUNTER,
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_VALUE_MS,
    numberOfSignificantValueDigits: 2,
  });

/**
 * Creates latency quantiles with two rotating histograms per key.
 *
 * @returns the quantiles, empty
 * @example
 * quantiles.record('generate', 412, nowMs);
 * quantiles.quantile('generate', 0.95);
 */
export default function createLatencyQuantiles(): LatencyQuantiles {
  const recentByKey = new Map<string, Recent>();

  const rotateIfDue = (key: string, nowMs: number): Recent => {
    const recent = recentByKey.get(key);
    const hasRoom = recent !== undefined && recent.current.totalCount < MAX_VALUE_COUNT;
    if (hasRoom && nowMs - recent.startedAtMs < WINDOW_MS) {
      return recent;
    }
    const next: Recent = { current: newHistogram(), previous: recent?.current, startedAtMs: nowMs, cache: new Map() };
    recentByKey.set(key, next);
    return next;
  };

  return {
    record: (key, valueMs, nowMs) => {
      rotateIfDue(key, nowMs).current.recordValue(Math.min(MAX_VALUE_MS, Math.max(1, Math.round(valueMs))));
    },
    quantile: (key, quantile) => {
      const recent = recentByKey.get(key);
      const filled = [recent?.current, recent?.previous].filter(
        (candidate) => (candidate?.totalCount ?? 0) >= MIN_VALUE_COUNT,
      );
      const [histogram] = filled;
      if (recent === undefined || histogram === undefined) {
        return undefined;
      }
      const cached = recent.cache.get(quantile);
      const count = histogram.totalCount;
      if (cached !== undefined && count >= cached.count && count <= cached.count * CACHE_GROWTH_FACTOR) {
        return cached.value;
      }
      const value = histogram.getValueAtPercentile(quantile * PERCENT);
      recent.cache.set(quantile, { value, count });
      return value;
    },
  };
}
