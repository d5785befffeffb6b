import { build, type Histogram } from 'hdr-histogram-js';

/** Owner of learnt latency quantiles. */
export interface QuantileBook {
  record(key: string, valueMs: number, nowMs: number): void;
  /** Quantile in [0, 1] of the recent values, or undefined while too few were seen. */
  quantile(key: string, quantile: number): number | undefined;
}

interface Recent {
  current: Histogram;
  previous: Histogram | undefined;
  startedAtMs: number;
}

/** Values are forgotten after one to two windows, so that the quantiles follow the load. */
const WINDOW_MS = 15_000;
const MIN_COUNT = 20;
const MAX_VALUE_MS = 600_000;
const PERCENT = 100;

const newHistogram = (): Histogram =>
  build({ lowestDiscernibleValue: 1, highestTrackableValue: MAX_VALUE_MS, numberOfSignificantValueDigits: 2 });

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
    if (recent !== undefined && nowMs - recent.startedAtMs < WINDOW_MS) {
      return recent;
    }
    const next: Recent = { current: newHistogram(), previous: recent?.current, startedAtMs: nowMs };
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
      return enough[0]?.getValueAtPercentile(quantile * PERCENT);
    },
  };
}
