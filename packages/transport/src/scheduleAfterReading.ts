import type { Clock, Timer } from '@bergamotcove/clock';

/**
 * Schedules the judgement of a wait for bytes. Timers run before sockets are read, so after a standstill of the process
 * the bytes that have come in time are read first; what reads them closes the timer.
 *
 * @param clock - clock of the delay
 * @param delayMs - limit of the wait
 * @param run - called after the sockets were read, unless the timer is closed by then
 * @returns the timer
 * @example
 * const timer = scheduleAfterReading(clock, 5_000, () => refuse('too-slow'));
 */
export default function scheduleAfterReading(clock: Clock, delayMs: number, run: () => void): Timer {
  let closed = false;
  const timer = clock.schedule(delayMs, () =>
    setImmediate(() => {
      if (!closed) {
        run();
      }
    }),
  );
  return {
    close: () => {
      closed = true;
      timer.close();
    },
  };
}
