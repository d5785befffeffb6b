/**
 * Runs a task for each item with a limit on how many run at once; a failed task does not stop the others.
 *
 * @param items - items
 * @param limit - tasks at once
 * @param run - the task
 * @returns resolves when every task has ended
 * @example
 * await runBounded(hosts, 8, (host) => push(host));
 */
export default async function runBounded<Item>(
  items: readonly Item[],
  limit: number,
  run: (item: Item) => Promise<unknown>,
): Promise<void> {
  const queue = [...items];
  const work = async (): Promise<void> => {
    const item = queue.shift();
    if (item !== undefined) {
      await run(item).catch(() => undefined);
      await work();
    }
  };
  await Promise.all(Array.from({ length: Math.min(limit, queue.length) }, work));
}
