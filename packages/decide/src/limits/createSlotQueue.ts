import { PROMISE_GRACE_MS, SLOT_GRACE_MS, SLOT_HORIZON_MS } from './constants.js';

/** When a request may be sent, and whether it waits until then. */
export interface Slot {
  readonly atMs: number;
  /** False when the time is later than the request can wait; its caller may send it again then. */
  readonly waits: boolean;
}

/** Conditions for a slot. */
export interface SlotOptions {
  /** Time from which there is a send again. */
  readonly earliestMs: number;
  /** Time between two sends. */
  readonly intervalMs: number;
  /** Time until which the request can wait. */
  readonly latestMs: number;
  readonly nowMs: number;
}

/** Requests that wait for a send, and callers that were told when to send theirs again. */
export interface SlotQueue {
  /** Time of the slot of a request that waits; undefined without one. */
  find(key: string, nowMs: number): number | undefined;
  /** Number of waiting requests whose slot has come, without the given one. */
  countDue(exceptKey: string, nowMs: number): number;
  /** Like `countDue`, of the requests whose callers came back as told; none for such a request. */
  countReturned(exceptKey: string, nowMs: number): number;
  /** Number of requests that wait, and of callers that are expected to come back by a time. */
  countAhead(latestMs: number, nowMs: number): number;
  /** Gives a request the first slot after those that wait, or ahead of them when its caller has come back as told. */
  add(key: string, options: SlotOptions): Slot;
  delete(key: string): void;
}

/** Weight of a promise that was kept or not in the moving average of their share. */
const SHARE_WEIGHT = 0.1;
const INITIAL_RETURN_SHARE = 0.5;

class Queue implements SlotQueue {
  /** Slots of the requests that wait. */
  private readonly waiting = new Map<string, number>();

  /** Times that callers were told, in ascending order. */
  private readonly promised = new Map<string, number>();

  /** Waiting requests whose callers came back as told. */
  private readonly returned = new Set<string>();

  private lastPromiseMs = -Infinity;

  /** Share of the callers that come back when they were told to. */
  private returnShare = INITIAL_RETURN_SHARE;

  find(key: string, nowMs: number): number | undefined {
    this.dropLapsed(nowMs);
    return this.waiting.get(key);
  }

  countDue(exceptKey: string, nowMs: number): number {
    this.dropLapsed(nowMs);
    return [...this.waiting].filter(([key, slotMs]) => slotMs <= nowMs && key !== exceptKey).length;
  }

  countReturned(exceptKey: string, nowMs: number): number {
    this.dropLapsed(nowMs);
    const isDue = (key: string): boolean => (this.waiting.get(key) ?? Infinity) <= nowMs;
    return this.returned.has(exceptKey) ? 0 : [...this.returned].filter(isDue).length;
  }

  countAhead(latestMs: number, nowMs: number): number {
    this.dropLapsed(nowMs);
    const returns = [...this.promised.values()].filter((atMs) => atMs <= latestMs).length;
    return this.waiting.size + returns * this.returnShare;
  }

  add(key: string, { earliestMs, intervalMs, latestMs, nowMs }: SlotOptions): Slot {
    this.dropLapsed(nowMs);
    const promisedMs = this.promised.get(key);
    if (promisedMs !== undefined && promisedMs <= nowMs + intervalMs) {
      this.promised.delete(key);
      this.learnReturn(1);
      this.returned.add(key);
      this.waiting.set(key, earliestMs);
      return { atMs: earliestMs, waits: true };
    }
    // The send of a slot may be gone when its request asks for it; then it gets the next one, ahead of later requests.
    if (this.waiting.has(key) && earliestMs <= latestMs) {
      this.waiting.set(key, earliestMs);
      return { atMs: earliestMs, waits: true };
    }
    const atMs = earliestMs + this.countAhead(latestMs, nowMs) * intervalMs;
    if (atMs <= latestMs) {
      this.waiting.set(key, atMs);
      return { atMs, waits: true };
    }
    return { atMs: promisedMs ?? this.promise(key, { earliestMs: atMs, intervalMs, nowMs }), waits: false };
  }

  delete(key: string): void {
    this.waiting.delete(key);
    this.returned.delete(key);
  }

  /** Tells callers one after the other, as far apart as the sends. */
  private promise(key: string, { earliestMs, intervalMs, nowMs }: Omit<SlotOptions, 'latestMs'>): number {
    const atMs = Math.max(earliestMs, this.lastPromiseMs + intervalMs);
    if (atMs > nowMs + SLOT_HORIZON_MS) {
      return atMs;
    }
    this.promised.set(key, atMs);
    this.lastPromiseMs = atMs;
    return atMs;
  }

  private learnReturn(sample: number): void {
    this.returnShare += (sample - this.returnShare) * SHARE_WEIGHT;
  }

  private dropLapsed(nowMs: number): void {
    this.waiting.forEach((slotMs, key) => {
      if (slotMs + SLOT_GRACE_MS < nowMs) {
        this.delete(key);
      }
    });
    this.promised.forEach((atMs, key) => {
      if (atMs + PROMISE_GRACE_MS < nowMs) {
        this.promised.delete(key);
        this.learnReturn(0);
      }
    });
  }
}

/**
 * Creates an empty queue. A slot is kept for a request that waits; a caller that was told to come back is served ahead
 * of those that wait, and no send is kept idle for it.
 *
 * @returns the queue
 */
export default function createSlotQueue(): SlotQueue {
  return new Queue();
}
