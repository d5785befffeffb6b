import type { Clock } from '@bergamotcove/clock';
import type { JsonRoute } from '../_lib/serveJson.js';

/** Load of a server at a point in time, on the monotonic clock. */
export interface LoadSample {
  readonly running: number;
  readonly waiting: number;
  readonly atMs: number;
}

/** Load that a stage server reports. */
export interface LoadReport {
  /** Wraps a route so that its requests are counted. */
  track(route: JsonRoute): JsonRoute;
  /** The load as it was `lagMs` ago. */
  read(): LoadSample;
  counters(): { readonly received: number; readonly finished: number };
  reset(): void;
}

const MAX_SAMPLES = 2_000;

/** Finds the latest sample taken at or before `beforeMs`; the earliest sample when there is none. */
export const findLaggedSample = <Sample extends { readonly atMs: number }>(
  samples: readonly Sample[],
  beforeMs: number,
): Sample | undefined => samples.findLast((sample) => sample.atMs <= beforeMs) ?? samples[0];

/**
 * Creates the load report of a server.
 *
 * @param clock - clock that dates the samples
 * @param lagMs - delay of the report
 * @returns the report
 */
export default function createLoadReport(clock: Clock, lagMs: number): LoadReport {
  let running = 0;
  let received = 0;
  let finished = 0;
  const samples: LoadSample[] = [{ running: 0, waiting: 0, atMs: clock.monotonicMs() }];
  const sample = (): void => {
    samples.push({ running, waiting: 0, atMs: clock.monotonicMs() });
    if (samples.length > MAX_SAMPLES) {
      samples.splice(0, MAX_SAMPLES / 2);
    }
  };
  return {
    track: (route) => async (body, exchange) => {
      running += 1;
      received += 1;
      sample();
      try {
        return await route(body, exchange);
      } finally {
        running = Math.max(0, running - 1);
        finished += 1;
        sample();
      }
    },
    read: () => findLaggedSample(samples, clock.monotonicMs() - lagMs) as LoadSample,
    counters: () => ({ received, finished }),
    reset: () => {
      running = 0;
      sample();
    },
  };
}
