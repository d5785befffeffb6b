import { SLOT_GRACE_MS, SLOT_HORIZON_MS } from './constants.js';

/** Times at which waiting requests may be sent, one for each request. */
export interface SlotQueue {
  /** Slot of a request; undefined without one. */
  find(key: string, nowMs: number): number | undefined;
  /** Number of requests whose slot has come, without the given one. */
  countDue(exceptKey: string, nowMs: number): number;
  /**
   * Gives a request the first slot after all others.
   *
   * @returns the slot; it is not kept when it lies too far ahead
   */
  add(
    key: string,
    options: { readonly earliestMs: number; readonly intervalMs: number; readonly nowMs: number },
  ): number;
  delete(key: string): void;
}

/**
 * Creates an empty queue. A slot is kept until shortly after its time.
 *
 * @returns the queue
 */
export default function createSlotQueue(): SlotQueue {
  const slots = new Map<string, number>();

  const dropLapsed = (nowMs: number): void =>
    slots.forEach((slotMs, key) => {
      if (slotMs + SLOT_GRACE_MS < nowMs) {
        slots.delete(key);
      }
    });

  return {
    find: (key, nowMs) => {
      dropLapsed(nowMs);
      return slots.get(key);
    },
    countDue: (exceptKey, nowMs) => {
      dropLapsed(nowMs);
      return [...slots].filter(([key, slotMs]) => slotMs <= nowMs && key !== exceptKey).length;
    },
    add: (key, { earliestMs, intervalMs, nowMs }) => {
      dropLapsed(nowMs);
      const lastMs = Math.max(-Infinity, ...slots.values());
      const slotMs = Math.max(earliestMs, lastMs + intervalMs);
      if (slotMs <= nowMs + SLOT_HORIZON_MS) {
        slots.set(key, slotMs);
      }
      return slotMs;
    },
    delete: (key) => slots.delete(key),
  };
}
