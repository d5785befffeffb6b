import type { Clock } from './types.js';

interface Entry {
  readonly dueMs: number;
  /** Tie-break: timers with the same due time run in the order in which they were scheduled. */
  readonly order: number;
  readonly run: () => void;
}

/** A clock whose time changes only through its own methods. */
export interface ManualClock extends Clock {
  /** Moves time forward and runs the timers that fall due, in due order. */
  advance(deltaMs: number): void;
  /** Moves only the wall clock, like a time correction on a host. */
  stepWall(deltaMs: number): void;
  /** Due time of the next timer, or undefined when none is pending. */
  nextDueMs(): number | undefined;
}

/** Index at which the given entry is or belongs; entries are sorted by due time and order, latest first. */
const findIndex = (entries: readonly Entry[], { dueMs, order }: Entry): number => {
  let low = 0;
  let high = entries.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    const other = entries[middle] as Entry;
    if (other.dueMs > dueMs || (other.dueMs === dueMs && other.order > order)) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
};

/**
 * Creates a clock for tests and for runs in virtual time.
 *
 * @param startWallMs - wall time at monotonic time zero
 * @returns a clock that only `advance` and `stepWall` change
 * @example
 * const clock = createManualClock();
 * clock.schedule(10, () => events.push('due'));
 * clock.advance(10);
 */
export default function createManualClock(startWallMs = 0): ManualClock {
  let nowMs = 0;
  let wallOffsetMs = startWallMs;
  let order = 0;
  // The entry that is due next is last: most timers are short, and inserting near the end of an array moves few items.
  const entries: Entry[] = [];

  const advance = (deltaMs: number): void => {
    const endMs = nowMs + deltaMs;
    for (let next = entries.at(-1); next !== undefined && next.dueMs <= endMs; next = entries.at(-1)) {
      entries.pop();
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
      entries.splice(findIndex(entries, entry), 0, entry);
      return {
        close: () => {
          const index = findIndex(entries, entry);
          if (entries[index] === entry) {
            entries.splice(index, 1);
          }
        },
      };
    },
    advance,
    stepWall: (deltaMs) => {
      wallOffsetMs += deltaMs;
    },
    nextDueMs: () => entries.at(-1)?.dueMs,
  };
}
