import { LRUCache } from 'lru-cache';
import TinyQueue from 'tinyqueue';
import { CLASS_WEIGHT } from '../queue/constants.js';
import type { PriorityClass } from '../queue/types.js';
import sumBefore from './_lib/sumBefore.js';
import type { AdmissionRequest } from './types.js';

/** Two-level weighted fair queue: across organisations, and across the priority classes of each organisation. */
export interface FairQueue<Item extends AdmissionRequest> {
  readonly length: number;
  /** Work of all items, in tokens. */
  readonly tokens: number;
  push(item: Item): void;
  pop(): Item | undefined;
  /** Returns the work in tokens that would be released before a new item. */
  tokensBefore(item: AdmissionRequest): number;
  remove(item: Item): void;
  /** Removes items in one pass over the queues of their organisations. */
  removeAll(items: readonly Item[]): void;
  /** Lists all items with the work that is released before each. */
  list(): readonly QueuedItem<Item>[];
}

/** An item and its position. */
export interface QueuedItem<Item> {
  readonly item: Item;
  readonly tokensBefore: number;
  /** Whether the organisation has used no more than its share and credit before this item. */
  readonly withinShare: boolean;
}

interface Entry<Item> {
  readonly item: Item;
  readonly tag: number;
  readonly order: number;
}

/** Items of one organisation. */
interface Flow<Item> {
  readonly organisation: string;
  readonly weight: number;
  /** Position among organisations with the same start tag. */
  readonly order: number;
  /** Virtual time at which the next item of the organisation starts. */
  startTag: number;
  tokens: number;
  /** Virtual time of the queue across the classes of the organisation. */
  classTime: number;
  readonly classTags: Map<PriorityClass, number>;
  entries: TinyQueue<Entry<Item>>;
}

/**
 * Work in tokens that an organisation may have released ahead of its share after it used less. A host's share of a
 * small organisation is about one request in 350 ms, so without this credit two consecutive requests already wait as if
 * the organisation were over its share.
 */
const CREDIT_TOKENS = 400;

/** Number of idle organisations whose start tags are kept. */
const MAX_IDLE = 20_000;

const compareEntries = <Item>(a: Entry<Item>, b: Entry<Item>): number => a.tag - b.tag || a.order - b.order;

const toClassTag = <Item>(flow: Flow<Item>, item: AdmissionRequest): number => {
  const start = Math.max(flow.classTime, flow.classTags.get(item.priority) ?? 0);
  return start + item.costTokens / CLASS_WEIGHT[item.priority];
};

const compareFlows = <Item>(a: Flow<Item>, b: Flow<Item>): number => a.startTag - b.startTag || a.order - b.order;

class TwoLevelQueue<Item extends AdmissionRequest> implements FairQueue<Item> {
  length = 0;

  tokens = 0;

  private readonly flows = new Map<string, Flow<Item>>();

  /** Flows by start tag; a flow that removals emptied stays until it is first. */
  private readonly flowsByStartTag = new TinyQueue<Flow<Item>>([], compareFlows);

  private readonly idleTags = new LRUCache<string, number>({ max: MAX_IDLE });

  private virtualTime = 0;

  private order = 0;

  push(item: Item): void {
    const flow = this.flows.get(item.organisation) ?? this.startFlow(item);
    const tag = toClassTag(flow, item);
    flow.classTags.set(item.priority, tag);
    this.order += 1;
    flow.entries.push({ item, tag, order: this.order });
    this.adjustCounts(flow, item, 1);
  }

  pop(): Item | undefined {
    const next = this.takeFirst();
    const entry = next?.entries.pop();
    if (next === undefined || entry === undefined) {
      return undefined;
    }
    this.virtualTime = Math.max(this.virtualTime, next.startTag);
    next.startTag += entry.item.costTokens / next.weight;
    next.classTime = entry.tag;
    this.adjustCounts(next, entry.item, -1);
    this.endIfEmpty(next);
    if (next.entries.length > 0) {
      this.flowsByStartTag.push(next);
    }
    return entry.item;
  }

  tokensBefore(item: AdmissionRequest): number {
    const flow = this.flows.get(item.organisation);
    if (flow === undefined) {
      return this.othersBefore(item.organisation, this.startTagOf(item));
    }
    const tag = toClassTag(flow, item);
    const own = flow.entries.data.reduce((sum, entry) => (entry.tag <= tag ? sum + entry.item.costTokens : sum), 0);
    return own + this.othersBefore(item.organisation, flow.startTag + own / flow.weight);
  }

  remove(item: Item): void {
    this.removeAll([item]);
  }

  removeAll(items: readonly Item[]): void {
    const removed = new Set(items);
    new Set(items.map((item) => item.organisation)).forEach((organisation) => {
      const flow = this.flows.get(organisation);
      if (flow === undefined) {
        return;
      }
      const removedEntries = flow.entries.data.filter((entry) => removed.has(entry.item));
      const remaining = flow.entries.data.filter((entry) => !removed.has(entry.item));
      flow.entries = new TinyQueue(remaining, compareEntries);
      removedEntries.forEach((entry) => this.adjustCounts(flow, entry.item, -1));
      this.endIfEmpty(flow);
    });
  }

  list(): readonly QueuedItem<Item>[] {
    const places = [...this.flows.values()].flatMap((flow) => {
      let own = 0;
      return [...flow.entries.data].sort(compareEntries).map(({ item }) => {
        const place = { item, flow, own, startTag: flow.startTag + own / flow.weight };
        own += item.costTokens;
        return place;
      });
    });
    const sums = sumBefore(
      [...this.flows.values()].map((flow) => ({ ...flow, nextTokens: flow.entries.peek()?.item.costTokens ?? 0 })),
      places.map((place) => place.startTag),
    );
    return places.map(({ item, flow, own, startTag }, index) => {
      // The sum includes the organisation of the item, which is subtracted here.
      const ownCounted = Math.min(flow.tokens, own + (flow.entries.peek()?.item.costTokens ?? 0));
      const others = Math.max(0, (sums[index] as number) - ownCounted);
      return { item, tokensBefore: own + others, withinShare: startTag <= this.virtualTime };
    });
  }

  private takeFirst(): Flow<Item> | undefined {
    for (let next = this.flowsByStartTag.pop(); next !== undefined; next = this.flowsByStartTag.pop()) {
      if (this.flows.get(next.organisation) === next) {
        return next;
      }
    }
    return undefined;
  }

  private startTagOf({ organisation, weight }: AdmissionRequest): number {
    return Math.max(this.virtualTime - CREDIT_TOKENS / weight, this.idleTags.get(organisation) ?? 0);
  }

  private startFlow(item: Item): Flow<Item> {
    this.order += 1;
    const flow: Flow<Item> = {
      organisation: item.organisation,
      order: this.order,
      weight: item.weight,
      startTag: this.startTagOf(item),
      tokens: 0,
      classTime: 0,
      classTags: new Map(),
      entries: new TinyQueue<Entry<Item>>([], compareEntries),
    };
    this.flows.set(item.organisation, flow);
    this.flowsByStartTag.push(flow);
    return flow;
  }

  /** Returns the work of the other organisations that starts up to the given virtual time. */
  private othersBefore(organisation: string, startTag: number): number {
    let sum = 0;
    this.flows.forEach((flow, name) => {
      if (name !== organisation && flow.startTag <= startTag) {
        const next = flow.entries.peek()?.item.costTokens ?? 0;
        sum += Math.min(flow.tokens, (startTag - flow.startTag) * flow.weight + next);
      }
    });
    return sum;
  }

  private adjustCounts(flow: Flow<Item>, item: Item, sign: 1 | -1): void {
    const updated = flow;
    updated.tokens += sign * item.costTokens;
    this.tokens += sign * item.costTokens;
    this.length += sign;
  }

  private endIfEmpty(flow: Flow<Item>): void {
    if (flow.entries.length === 0) {
      this.flows.delete(flow.organisation);
      this.idleTags.set(flow.organisation, flow.startTag);
    }
  }
}

/**
 * Creates a fair queue. An organisation that stays within its share is not delayed by the backlog of another one.
 *
 * @returns the queue
 * @example
 * queue.push(request);
 * const next = queue.pop();
 */
export default function createFairQueue<Item extends AdmissionRequest>(): FairQueue<Item> {
  return new TwoLevelQueue<Item>();
}
