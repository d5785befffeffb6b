import { LRUCache } from 'lru-cache';
import TinyQueue from 'tinyqueue';
import { CLASS_WEIGHT } from '../queue/constants.js';
import type { PriorityClass } from '../queue/types.js';
import type { AdmissionRequest } from './types.js';

/** Fair queue of two levels: organisations share by weight and cost, classes share within their organisation. */
export interface FairQueue<Item extends AdmissionRequest> {
  readonly length: number;
  /** Work of all items. */
  readonly tokens: number;
  push(item: Item): void;
  pop(): Item | undefined;
  /** Work that would be released before a new item. */
  tokensBefore(item: AdmissionRequest): number;
  remove(item: Item): void;
  /** All items with the work that is released before each. */
  list(): readonly QueuedItem<Item>[];
}

/** An item and its place. */
export interface QueuedItem<Item> {
  readonly item: Item;
  readonly tokensBefore: number;
  /** Whether the organisation has not used more than its share and credit before this item. */
  readonly withinShare: boolean;
}

interface Entry<Item> {
  readonly item: Item;
  readonly tag: number;
  readonly order: number;
}

/** Items of one organisation. */
interface Flow<Item> {
  readonly weight: number;
  /** Virtual time at which the organisation's next item starts. */
  startTag: number;
  tokens: number;
  /** Virtual time among the classes of the organisation. */
  classTime: number;
  readonly classTags: Map<PriorityClass, number>;
  entries: TinyQueue<Entry<Item>>;
}

/**
 * Work that an organisation may have released ahead of its share after it used less. A host's share of a small
 * organisation is a request in some 350 ms, so without this two requests in a row already wait as if it sent too much.
 */
const CREDIT_TOKENS = 400;

/** Idle organisations of which the used share is remembered. */
const MAX_IDLE = 20_000;

const compareEntries = <Item>(a: Entry<Item>, b: Entry<Item>): number => a.tag - b.tag || a.order - b.order;

const toClassTag = <Item>(flow: Flow<Item>, item: AdmissionRequest): number => {
  const start = Math.max(flow.classTime, flow.classTags.get(item.priority) ?? 0);
  return start + item.costTokens / CLASS_WEIGHT[item.priority];
};

class TwoLevelQueue<Item extends AdmissionRequest> implements FairQueue<Item> {
  length = 0;

  tokens = 0;

  private readonly flows = new Map<string, Flow<Item>>();

  private readonly idleTags = new LRUCache<string, number>({ max: MAX_IDLE });

  private virtualTime = 0;

  private order = 0;

  push(item: Item): void {
    const flow = this.flows.get(item.organisation) ?? this.startFlow(item);
    const tag = toClassTag(flow, item);
    flow.classTags.set(item.priority, tag);
    this.order += 1;
    flow.entries.push({ item, tag, order: this.order });
    this.count(flow, item, 1);
  }

  pop(): Item | undefined {
    let next: Flow<Item> | undefined;
    this.flows.forEach((flow) => {
      next = next === undefined || flow.startTag < next.startTag ? flow : next;
    });
    const entry = next?.entries.pop();
    if (next === undefined || entry === undefined) {
      return undefined;
    }
    this.virtualTime = Math.max(this.virtualTime, next.startTag);
    next.startTag += entry.item.costTokens / next.weight;
    next.classTime = entry.tag;
    this.count(next, entry.item, -1);
    this.endIfEmpty(entry.item.organisation, next);
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
    const flow = this.flows.get(item.organisation);
    const kept = flow?.entries.data.filter((entry) => entry.item !== item) ?? [];
    if (flow === undefined || kept.length === flow.entries.length) {
      return;
    }
    flow.entries = new TinyQueue(kept, compareEntries);
    this.count(flow, item, -1);
    this.endIfEmpty(item.organisation, flow);
  }

  list(): readonly QueuedItem<Item>[] {
    return [...this.flows].flatMap(([organisation, flow]) => {
      let own = 0;
      return [...flow.entries.data].sort(compareEntries).map(({ item }) => {
        const startTag = flow.startTag + own / flow.weight;
        const tokensBefore = own + this.othersBefore(organisation, startTag);
        own += item.costTokens;
        return { item, tokensBefore, withinShare: startTag <= this.virtualTime };
      });
    });
  }

  private startTagOf({ organisation, weight }: AdmissionRequest): number {
    return Math.max(this.virtualTime - CREDIT_TOKENS / weight, this.idleTags.get(organisation) ?? 0);
  }

  private startFlow(item: Item): Flow<Item> {
    const flow: Flow<Item> = {
      weight: item.weight,
      startTag: this.startTagOf(item),
      tokens: 0,
      classTime: 0,
      classTags: new Map(),
      entries: new TinyQueue<Entry<Item>>([], compareEntries),
    };
    this.flows.set(item.organisation, flow);
    return flow;
  }

  /** Work of the other organisations that starts before the virtual time. */
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

  private count(flow: Flow<Item>, item: Item, sign: 1 | -1): void {
    const counted = flow;
    counted.tokens += sign * item.costTokens;
    this.tokens += sign * item.costTokens;
    this.length += sign;
  }

  private endIfEmpty(organisation: string, flow: Flow<Item>): void {
    if (flow.entries.length === 0) {
      this.flows.delete(organisation);
      this.idleTags.set(organisation, flow.startTag);
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
