import type { Clock } from './types.js';

interface Entry {
  readonly dueMs: number;
  readonly order: number;
  readonly run: () => void;
}

/** A clock that stands still until it is advanced. */
export interface ManualClock extends Clock {
  /** Moves time forward and runs the timers that fall due, in due order. */
  advance(deltaMs: number): void;
  /** Moves only the wall clock, as a time correction on a host does. */
  stepWall(deltaMs: number): void;
  /** Due time of the next timer, or undefined when none is pending. */
  nextDueMs(): number | undefined;
}

const compareEntries = (a: Entry, b: Entry): number => a.dueMs - b.dueMs || a.order - b.order;

/**
 * Creates a clock for tests and for runs in virtual time.
 *
 * @param startWallMs - wall time at monotonic time zero
 * @returns a clock that only `advance` moves
 * @example
 * const clock = createManualClock();
 * clock.schedule(10, () => events.push('due'));
 * clock.advance(10);
 */
export default function createManualClock(startWallMs = 0): ManualClock {
  let nowMs = 0;
  let wallOffsetMs = startWallMs;
  let order = 0;
  let entries: readonly Entry[] = [];

  const advance = (deltaMs: number): void => {
    const endMs = nowMs + deltaMs;
    for (let next = entries[0]; next !== undefined && next.dueMs <= endMs; [next] = entries) {
      entries = entries.slice(1);
      nowMs = Math.max(nowMs, next.dueMs);
      next.run();
    }
    nowMs = endMs;
  };

  return {
    monotonicMs: () => nowMs,
    wallMs: () => nowMs + wallOffsetMs,
    schedule: (delayMs, run) => {
      order += 1;
      const entry: Entry = { dueMs: nowMs + Math.max(0, delayMs), order, run };
      entries = [...entries, entry].sort(compareEntries);
      return {
        close: () => {
          entries = entries.filter((other) => other !== entry);
        },
      };
    },
    advance,
    stepWall: (deltaMs) => {
      wallOffsetMs += deltaMs;
    },
    nextDueMs: () => entries[0]?.dueMs,
  };
}
