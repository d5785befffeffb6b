import TinyQueue from 'tinyqueue';
import createFairQueue, { type QueuedItem } from './createFairQueue.js';
import createLimiter from './createLimiter.js';
import decideAdmission from './decideAdmission.js';
import type { AdmissionDecision, AdmissionRequest, LimitShare } from './types.js';

/** Admission queue of one entry host. */
export interface Admission<Item extends AdmissionRequest> {
  /** Number of waiting requests. */
  readonly length: number;
  /** Queues a request, or refuses it. */
  offer(item: Item, share: LimitShare, nowMs: number): AdmissionDecision;
  /** Releases the next request, if any may go. `late` marks a request that is likely to miss its deadline. */
  release(nowMs: number): Release<Item> | undefined;
  /** Removes and returns the requests that would be released too late, so that they are refused early. */
  expire(nowMs: number): readonly Item[];
  /** Returns the expected wait in ms of a request at the end of the queue. */
  waitMs(nowMs: number): number;
  /** Returns the monotonic time at which the next held request is within its limits, or undefined if none is held. */
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

/** Time constant of the moving average of the drain rate. */
const RATE_TIME_MS = 1_000;
/** Drain rate before anything was released. */
const INITIAL_TOKENS_PER_MS = 1;
const MIN_TOKENS_PER_MS = 0.001;

/** Creates the exponentially weighted rate of released work. */
const createDrainRate = () => {
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
 * Share of the spread between median and high run time that a queued request must have time for while its organisation
 * is within its share. With the whole spread, 2 to 3% of these requests were refused, although most of them would have
 * met their deadlines.
 */
const WITHIN_SHARE_SPREAD_FACTOR = 0.6;

const neededMs = <Item extends AdmissionRequest>({ item, withinShare }: QueuedItem<Item>): number =>
  withinShare ? item.typicalMs + Math.max(0, item.runMs - item.typicalMs) * WITHIN_SHARE_SPREAD_FACTOR : item.runMs;

const compareHeld = <Item>(a: Held<Item>, b: Held<Item>): number => a.eligibleAtMs - b.eligibleAtMs;

class AdmissionQueues<Item extends AdmissionRequest> implements Admission<Item> {
  private readonly queue = createFairQueue<Item>();

  private readonly limiter = createLimiter();

  private readonly rate = createDrainRate();

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
 * Creates the admission queue of an entry host. Requests over the limit of their organisation are held until they are
 * within it; the others wait in the weighted fair queue.
 *
 * @returns the admission queue
 * @example
 * const decision = admission.offer(request, share, nowMs);
 */
export default function createAdmission<Item extends AdmissionRequest>(): Admission<Item> {
  return new AdmissionQueues<Item>();
}
