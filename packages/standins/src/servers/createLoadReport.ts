import type { Clock } from '@bergamotcove/clock';
import type { JsonRoute } from '../_lib/serveJson.js';

/** Load of a server at one time. */
export interface LoadSample {
  readonly running: number;
  readonly waiting: number;
  readonly atMs: number;
}

/** Load of a stage server as it reports it. */
export interface LoadReport {
  /** Counts the requests of a route. */
  track(route: JsonRoute): JsonRoute;
  /** The load as it was one lag ago. */
  read(): LoadSample;
  counters(): { readonly received: number; readonly finished: number };
  reset(): void;
}

const KEPT_SAMPLES = 2_000;

/** The newest sample that is at least one lag old. */
export const pickLagged = <Sample extends { readonly atMs: number }>(
  samples: readonly Sample[],
  beforeMs: number,
): Sample | undefined => samples.findLast((sample) => sample.atMs <= beforeMs) ?? samples[0];

/**
 * Creates the load report of a server.
 *
 * @param clock - time of samples
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
    if (samples.length > KEPT_SAMPLES) {
      samples.splice(0, KEPT_SAMPLES / 2);
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
    read: () => pickLagged(samples, clock.monotonicMs() - lagMs) as LoadSample,
    counters: () => ({ received, finished }),
    reset: () => {
      running = 0;
      sample();
    },
  };
}
