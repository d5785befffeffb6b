import type { Clock, Timer } from '@bergamotcove/clock';
import { scheduleAfterReading } from '@bergamotcove/transport';

/** A timer that is late by more than this shows that this process stood still. */
const PAUSE_THRESHOLD_MS = 20;

/**
 * Schedules the judgement that a host does not answer. After a pause of this process an answer that has come is read
 * first, and without one the host gets its time once more: it may have been paused too.
 *
 * @param clock - clock of the limit
 * @param limitMs - time within which the host should answer
 * @param run - called when it has not answered, unless the timer is closed by then
 * @returns the timer
 * @example
 * const timer = scheduleSilence(clock, 120, () => hosts.noteSilent(hostId));
 */
export default function scheduleSilence(clock: Clock, limitMs: number, run: () => void): Timer {
  const dueAtMs = clock.monotonicMs() + limitMs;
  let timer = clock.schedule(limitMs, () => {
    const wasPaused = clock.monotonicMs() - dueAtMs > PAUSE_THRESHOLD_MS;
    timer = scheduleAfterReading(clock, wasPaused ? limitMs : 0, run);
  });
  return { close: () => timer.close() };
}
