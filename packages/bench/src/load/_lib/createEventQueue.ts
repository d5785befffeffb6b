import TinyQueue from 'tinyqueue';

/** Virtual time and the events that are due. */
export interface EventQueue {
  nowMs(): number;
  at(atMs: number, run: () => void): void;
  /** Runs every event up to the given time. */
  runUntil(endMs: number): void;
}

interface Entry {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

/** Creates an event queue that starts at time 0; events of the same time run in the order in which they were added. */
export default function createEventQueue(): EventQueue {
  const queue = new TinyQueue<Entry>([], (a, b) => a.atMs - b.atMs || a.order - b.order);
  let nowMs = 0;
  let order = 0;
  return {
    nowMs: () => nowMs,
    at: (atMs, run) => {
      order += 1;
      queue.push({ atMs: Math.max(nowMs, atMs), order, run });
    },
    runUntil: (endMs) => {
      for (let next = queue.peek(); next !== undefined && next.atMs <= endMs; next = queue.peek()) {
        queue.pop();
        nowMs = next.atMs;
        next.run();
      }
      nowMs = endMs;
    },
  };
}
