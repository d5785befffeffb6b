import { build, type Histogram } from 'hdr-histogram-js';

/** Owner of learnt latency quantiles. */
export interface QuantileBook {
  record(key: string, valueMs: number, nowMs: number): void;
  /** Quantile in [0, 1] of the recent values, or undefined while too few were seen. */
  quantile(key: string, quantile: number): number | undefined;
}

interface Recent {
  readonly current: Histogram;
  readonly previous: Histogram | undefined;
  readonly startedAtMs: number;
  /** Quantiles that were read, with the number of values behind them. */
  readonly cache: Map<number, { readonly value: number; readonly count: number }>;
}

/** A quantile is read again when the number of values has grown by this factor; reading walks the histogram. */
const CACHE_GROWTH = 1.05;

/** Values are forgotten after one to two windows, so that the quantiles follow the load. */
const WINDOW_MS = 15_000;
const MIN_COUNT = 20;
const MAX_VALUE_MS = 600_000;
const PERCENT = 100;
/** Counters of 16 bits take half the memory; a histogram is replaced before one of them could overflow. */
const BITS_PER_COUNTER = 16;
const MAX_COUNT = 2 ** BITS_PER_COUNTER - 1;

const newHistogram = (): Histogram =>
  build({
    bitBucketSize: BITS_PER_COUNTER,
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_VALUE_MS,
    numberOfSignificantValueDigits: 2,
  });

/**
 * Creates the owner of learnt latency quantiles, with two histograms a key that take turns.
 *
 * @returns the book
 * @example
 * book.record('generate', 412, nowMs);
 * book.quantile('generate', 0.95);
 */
export default function createQuantileBook(): QuantileBook {
  const recents = new Map<string, Recent>();

  const turn = (key: string, nowMs: number): Recent => {
    const recent = recents.get(key);
    const usable = recent !== undefined && recent.current.totalCount < MAX_COUNT;
    if (usable && nowMs - recent.startedAtMs < WINDOW_MS) {
      return recent;
    }
    const next: Recent = { current: newHistogram(), previous: recent?.current, startedAtMs: nowMs, cache: new Map() };
    recents.set(key, next);
    return next;
  };

  return {
    record: (key, valueMs, nowMs) => {
      turn(key, nowMs).current.recordValue(Math.min(MAX_VALUE_MS, Math.max(1, Math.round(valueMs))));
    },
    quantile: (key, quantile) => {
      const recent = recents.get(key);
      const enough = [recent?.current, recent?.previous].filter((one) => (one?.totalCount ?? 0) >= MIN_COUNT);
      const [histogram] = enough;
      if (recent === undefined || histogram === undefined) {
        return undefined;
      }
      const cached = recent.cache.get(quantile);
      const count = histogram.totalCount;
      if (cached !== undefined && count >= cached.count && count <= cached.count * CACHE_GROWTH) {
        return cached.value;
      }
      const value = histogram.getValueAtPercentile(quantile * PERCENT);
      recent.cache.set(quantile, { value, count });
      return value;
    },
  };
}
