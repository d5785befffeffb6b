import TinyQueue from 'tinyqueue';
import createFairQueue, { type QueuedItem } from './createFairQueue.js';
import createLimiter from './createLimiter.js';
import decideAdmission from './decideAdmission.js';
import type { AdmissionDecision, AdmissionRequest, LimitShare } from './types.js';

/** Owner of the admission state of one entry host. */
export interface Admission<Item extends AdmissionRequest> {
  /** Requests that wait. */
  readonly length: number;
  offer(item: Item, share: LimitShare, nowMs: number): AdmissionDecision;
  /** Releases the next request, or undefined when none may go. A request that is too late by now comes with `late`. */
  release(nowMs: number): Release<Item> | undefined;
  /** Removes and returns the requests that will not be released in time, so that they are refused early. */
  expire(nowMs: number): readonly Item[];
  /** Expected wait of a request that comes last. */
  waitMs(nowMs: number): number;
  /** Time at which the next request comes within its limits, or undefined when none is held back. */
  nextHeldMs(): number | undefined;
  remove(item: Item): void;
}

/** A request that leaves the admission queue. */
export interface Release<Item> {
  readonly item: Item;
  readonly late: boolean;
}

interface Held<Item> {
  readonly item: Item;
  readonly eligibleAtMs: number;
}

/** Time constant of the learnt drain rate. */
const RATE_TIME_MS = 1_000;
/** Drain rate before anything was released. */
const INITIAL_TOKENS_PER_MS = 1;
const MIN_TOKENS_PER_MS = 0.001;

/** Exponentially weighted rate of released work. */
const createRate = () => {
  let tokensPerMs = INITIAL_TOKENS_PER_MS;
  let updatedAtMs: number | undefined;
  const read = (nowMs: number): number => tokensPerMs * Math.exp(-(nowMs - (updatedAtMs ?? nowMs)) / RATE_TIME_MS);
  return {
    read,
    add: (tokens: number, nowMs: number): void => {
      tokensPerMs = read(nowMs) + tokens / RATE_TIME_MS;
      updatedAtMs = nowMs;
    },
  };
};

/**
 * Part of the spread of run times that a queued request must have time for while its organisation is within its share.
 * With the whole spread, 2 to 3% of these requests were refused, although most of them would have made it.
 */
const SHARE_SPREAD = 0.6;

const neededMs = <Item extends AdmissionRequest>({ item, withinShare }: QueuedItem<Item>): number =>
  withinShare ? item.typicalMs + Math.max(0, item.runMs - item.typicalMs) * SHARE_SPREAD : item.runMs;

const compareHeld = <Item>(a: Held<Item>, b: Held<Item>): number => a.eligibleAtMs - b.eligibleAtMs;

class AdmissionQueues<Item extends AdmissionRequest> implements Admission<Item> {
  private readonly queue = createFairQueue<Item>();

  private readonly limiter = createLimiter();

  private readonly rate = createRate();

  private held = new TinyQueue<Held<Item>>([], compareHeld);

  get length(): number {
    return this.queue.length + this.held.length;
  }

  offer(item: Item, share: LimitShare, nowMs: number): AdmissionDecision {
    const reservation = this.limiter.reserve(item.organisation, share, item.costTokens, nowMs);
    const outlook = {
      tokensBefore: this.queue.tokensBefore(item),
      drainTokensPerMs: Math.max(MIN_TOKENS_PER_MS, this.rate.read(nowMs)),
      limitWaitMs: reservation.waitMs,
    };
    const decision = decideAdmission(item, outlook, nowMs);
    if (decision.type === 'refused') {
      reservation.cancel();
    } else if (reservation.waitMs > 0) {
      this.held.push({ item, eligibleAtMs: nowMs + reservation.waitMs });
    } else {
      this.queue.push(item);
    }
    return decision;
  }

  release(nowMs: number): Release<Item> | undefined {
    this.moveEligible(nowMs);
    const item = this.queue.pop();
    if (item === undefined) {
      return undefined;
    }
    const late = nowMs + item.typicalMs > item.deadlineAtMs;
    if (!late) {
      this.rate.add(item.costTokens, nowMs);
    }
    return { item, late };
  }

  expire(nowMs: number): readonly Item[] {
    const tokensPerMs = Math.max(MIN_TOKENS_PER_MS, this.rate.read(nowMs));
    const expired = this.queue
      .list()
      .filter((queued) => nowMs + queued.tokensBefore / tokensPerMs + neededMs(queued) > queued.item.deadlineAtMs)
      .map(({ item }) => item);
    this.queue.removeAll(expired);
    return expired;
  }

  waitMs(nowMs: number): number {
    return this.queue.tokens / Math.max(MIN_TOKENS_PER_MS, this.rate.read(nowMs));
  }

  nextHeldMs(): number | undefined {
    return this.held.peek()?.eligibleAtMs;
  }

  remove(item: Item): void {
    this.queue.remove(item);
    this.held = new TinyQueue(
      this.held.data.filter((entry) => entry.item !== item),
      compareHeld,
    );
  }

  private moveEligible(nowMs: number): void {
    for (let next = this.held.peek(); next !== undefined && next.eligibleAtMs <= nowMs; next = this.held.peek()) {
      this.held.pop();
      this.queue.push(next.item);
    }
  }
}

/**
 * Creates the owner of the admission state. Requests over the limit of their organisation are held until they are
 * within it; the others wait in the weighted fair queue.
 *
 * @returns the admission
 * @example
 * const decision = admission.offer(request, share, nowMs);
 */
export default function createAdmission<Item extends AdmissionRequest>(): Admission<Item> {
  return new AdmissionQueues<Item>();
}
