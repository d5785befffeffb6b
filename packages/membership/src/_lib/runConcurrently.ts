/**
 * Runs a task for each item, with a limit on concurrent tasks; a failed task does not stop the others.
 *
 * @param items - items
 * @param limit - largest number of concurrent tasks
 * @param run - the task
 * @returns a promise that resolves when every task has ended
 * @example
 * await runConcurrently(hosts, 8, (host) => push(host));
 */
export default async function runConcurrently<Item>(
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
