import { MAX_CLOCK_LAG_MS } from './constants.js';

/** Times of one answered poll, from which the age of its report follows. */
export interface PolledReport {
  /** Wall-clock time of the host minus the wall-clock time that the server gives for its report. */
  readonly clockLagMs: number;
  /** Time since the poll was sent, on the monotonic clock. */
  readonly elapsedMs: number;
}

/**
 * Computes the age of a polled report. If the wall clocks of server and host contradict each other, the age is the time
 * since the poll was sent.
 *
 * @param report - times of the poll
 * @returns the age in milliseconds
 * @example
 * readReportAge({ clockLagMs: 300, elapsedMs: 4 }); // 300
 */
export default function readReportAge({ clockLagMs, elapsedMs }: PolledReport): number {
  return clockLagMs >= 0 && clockLagMs <= MAX_CLOCK_LAG_MS ? clockLagMs : elapsedMs;
}
