/** Limits of a window budget. */
export interface WindowBudgetSpec {
  /** Extra sends allowed for each counted request. */
  readonly ratio: number;
  /** Extra sends allowed in a window in addition. */
  readonly slack: number;
  readonly windowMs: number;
}

/** Budget of extra sends within a sliding window. */
export interface WindowBudget {
  /** Counts a request that arrived. */
  noteRequest(nowMs: number): void;
  /** Takes `count` extra sends from the budget; false if it does not suffice. */
  spend(count: number, spec: WindowBudgetSpec, nowMs: number): boolean;
}

/** Number of slots of a window; the counts of a slot expire together. */
const SLOTS = 20;

interface Slot {
  readonly startMs: number;
  requests: number;
  extras: number;
}

/**
 * Creates a sliding-window budget. Any window of the given length has at most `ratio` extra sends for each request in
 * it plus `slack`. Unlike in a token bucket, unused budget does not accumulate beyond one window.
 *
 * @param windowMs - length of the window
 * @returns the budget
 * @example
 * budget.spend(1, { ratio: 0.2, slack: 6, windowMs: 10_000 }, nowMs);
 */
export default function createWindowBudget(windowMs: number): WindowBudget {
  const slotMs = windowMs / SLOTS;
  let slots: Slot[] = [];

  const current = (nowMs: number): Slot => {
    const startMs = Math.floor(nowMs / slotMs) * slotMs;
    const last = slots.at(-1);
    if (last?.startMs === startMs) {
      return last;
    }
    // Keeps one slot more than the window has, so that a slot is entirely outside the window when it is dropped.
    slots = slots.filter((slot) => slot.startMs > startMs - windowMs - slotMs);
    const slot = { startMs, requests: 0, extras: 0 };
    slots.push(slot);
    return slot;
  };

  return {
    noteRequest: (nowMs) => {
      current(nowMs).requests += 1;
    },
    spend: (count, spec, nowMs) => {
      const slot = current(nowMs);
      // The oldest slot is only partly inside the window: its extra sends count, its requests do not.
      const extras = slots.reduce((sum, { extras: spent }) => sum + spent, 0);
      const requests = slots.reduce(
        (sum, { startMs, requests: seen }) => (startMs > nowMs - windowMs ? sum + seen : sum),
        0,
      );
      if (extras + count > requests * spec.ratio + spec.slack) {
        return false;
      }
      slot.extras += count;
      return true;
    },
  };
}
