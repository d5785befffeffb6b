import TinyQueue from 'tinyqueue';
import { CLASS_WEIGHT } from '../queue/constants.js';
import type { AdmissionRequest } from './types.js';

/** Weighted fair queue over organisations, by cost in tokens. */
export interface FairQueue<Item extends AdmissionRequest> {
  readonly length: number;
  /** Finish tag that the item would get; the order of release. */
  tag(item: AdmissionRequest): number;
  push(item: Item): void;
  peek(): Item | undefined;
  pop(): Item | undefined;
  /** Work that would be released before an item with the tag. */
  tokensBefore(tag: number): number;
  remove(item: Item): void;
  /** Items in the order of their release. */
  list(): readonly Item[];
}

interface Entry<Item> {
  readonly item: Item;
  readonly tag: number;
  readonly order: number;
}

/**
 * Creates a self-clocked fair queue: each item gets a virtual finish time of its organisation's previous item plus
 * its cost divided by the weight of organisation and class, and the smallest goes first.
 *
 * @returns the queue
 * @example
 * queue.push(request);
 * const next = queue.pop();
 */
export default function createFairQueue<Item extends AdmissionRequest>(): FairQueue<Item> {
  const compare = (a: Entry<Item>, b: Entry<Item>): number => a.tag - b.tag || a.order - b.order;
  const lastTags = new Map<string, number>();
  let heap = new TinyQueue<Entry<Item>>([], compare);
  let virtualTime = 0;
  let order = 0;

  const tag = (item: AdmissionRequest): number => {
    const start = Math.max(virtualTime, lastTags.get(`${item.organisation} ${item.priority}`) ?? 0);
    return start + item.costTokens / (item.weight * CLASS_WEIGHT[item.priority]);
  };

  const pop = (): Item | undefined => {
    const entry = heap.pop();
    if (heap.length === 0) {
      lastTags.clear();
      virtualTime = 0;
    } else if (entry !== undefined) {
      virtualTime = entry.tag;
    }
    return entry?.item;
  };

  return {
    get length() {
      return heap.length;
    },
    tag,
    push: (item) => {
      const finish = tag(item);
      lastTags.set(`${item.organisation} ${item.priority}`, finish);
      order += 1;
      heap.push({ item, tag: finish, order });
    },
    peek: () => heap.peek()?.item,
    pop,
    tokensBefore: (limit) =>
      heap.data.reduce((sum, entry) => (entry.tag <= limit ? sum + entry.item.costTokens : sum), 0),
    list: () => [...heap.data].sort(compare).map((entry) => entry.item),
    remove: (item) => {
      heap = new TinyQueue(
        heap.data.filter((entry) => entry.item !== item),
        compare,
      );
    },
  };
}
