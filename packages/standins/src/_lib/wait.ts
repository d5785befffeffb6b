import type { Clock } from '@bergamotcove/clock';

/** Resolves after the delay on the given clock. */
export default function wait(clock: Clock, delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    clock.schedule(delayMs, resolve);
  });
}
