import { performance } from 'node:perf_hooks';
import type { Clock } from './types.js';

/**
 * Creates a clock over the timers and the time of the process.
 *
 * @returns a clock whose monotonic time starts with the process
 * @example
 * const clock = createSystemClock();
 * const timer = clock.schedule(50, () => refresh());
 */
export default function createSystemClock(): Clock {
  return {
    monotonicMs: () => performance.now(),
    wallMs: () => Date.now(),
    schedule: (delayMs, run) => {
      const handle = setTimeout(run, Math.max(0, delayMs));
      return { close: () => clearTimeout(handle) };
    },
  };
}
