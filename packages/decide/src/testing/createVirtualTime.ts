import TinyQueue from 'tinyqueue';

/** Time of a simulation, which passes from one event to the next. */
export interface VirtualTime {
  readonly nowMs: number;
  schedule(inMs: number, run: () => void): void;
  /** Runs all events up to a time. */
  runUntil(endMs: number): void;
}

interface Event {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

/**
 * Creates the time of a simulation.
 *
 * @returns the time, at 0
 */
export default function createVirtualTime(): VirtualTime {
  const events = new TinyQueue<Event>([], (a, b) => a.atMs - b.atMs || a.order - b.order);
  let nowMs = 0;
  let order = 0;
  return {
    get nowMs() {
      return nowMs;
    },
    schedule: (inMs, run) => {
      order += 1;
      events.push({ atMs: nowMs + Math.max(0, inMs), order, run });
    },
    runUntil: (endMs) => {
      for (let next = events.peek(); next !== undefined && next.atMs <= endMs; next = events.peek()) {
        events.pop();
        nowMs = next.atMs;
        next.run();
      }
      nowMs = endMs;
    },
  };
}
