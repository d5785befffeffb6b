import { MAX_CLOCK_LAG_MS } from './constants.js';

/** Facts of one answered poll. */
export interface PolledReport {
  /** Wall time of the host less the wall time that the server gives for its report. */
  readonly clockLagMs: number;
  /** Time since the poll was sent, on the monotonic clock. */
  readonly elapsedMs: number;
}

/**
 * Reads the age of a polled report. Where the clocks of server and host cannot both be right, the time since the poll
 * was sent counts.
 *
 * @param report - facts of the poll
 * @returns the age in milliseconds
 * @example
 * readReportAge({ clockLagMs: 300, elapsedMs: 4 }); // 300
 */
export default function readReportAge({ clockLagMs, elapsedMs }: PolledReport): number {
  return clockLagMs >= 0 && clockLagMs <= MAX_CLOCK_LAG_MS ? clockLagMs : elapsedMs;
}
