import TinyQueue from 'tinyqueue';

/** Attempts of one pool that wait for a server, the most urgent first. */
export interface StageQueue<Item> {
  readonly length: number;
  push(item: Item, rank: number): void;
  peek(): Item | undefined;
  pop(): Item | undefined;
  /** Removes an item that no longer waits. */
  remove(item: Item): void;
}

interface Entry<Item> {
  readonly item: Item;
  readonly rank: number;
  readonly order: number;
}

/**
 * Creates a queue ordered by rank; equal ranks keep their order of arrival.
 *
 * @returns the queue
 * @example
 * queue.push(attempt, rankUrgency(facts));
 */
export default function createStageQueue<Item>(): StageQueue<Item> {
  const compare = (a: Entry<Item>, b: Entry<Item>): number => a.rank - b.rank || a.order - b.order;
  let heap = new TinyQueue<Entry<Item>>([], compare);
  let order = 0;
  return {
    get length() {
      return heap.length;
    },
    push: (item, rank) => {
      order += 1;
      heap.push({ item, rank, order });
    },
    peek: () => heap.peek()?.item,
    pop: () => heap.pop()?.item,
    remove: (item) => {
      heap = new TinyQueue(
        heap.data.filter((entry) => entry.item !== item),
        compare,
      );
    },
  };
}
