import type { Clock } from '@bergamotcove/clock';
import type { EventQueue } from './createEventQueue.js';

/** Creates a clock on the virtual time of an event queue, for parts of the daemon that run in the model. */
export default function createEventClock(events: EventQueue): Clock {
  return {
    monotonicMs: () => events.nowMs(),
    wallMs: () => events.nowMs(),
    schedule: (delayMs, run) => {
      let closed = false;
      events.at(events.nowMs() + delayMs, () => {
        if (!closed) {
          run();
        }
      });
      return {
        close: () => {
          closed = true;
        },
      };
    },
  };
}
