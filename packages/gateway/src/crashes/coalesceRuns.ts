/**
 * Coalesces the calls of an asynchronous task by key: one run at a time, and one more for all calls during it.
 *
 * @param run - task; must not reject
 * @returns a function that resolves when a run that began after the call has ended
 */
export default function coalesceRuns(run: (key: string) => Promise<void>): (key: string) => Promise<void> {
  const running = new Map<string, Promise<void>>();
  const waiting = new Map<string, Promise<void>>();

  const start = (key: string): Promise<void> => {
    const current = run(key).finally(() => running.delete(key));
    running.set(key, current);
    return current;
  };

  return (key) => {
    const current = running.get(key);
    if (current === undefined) {
      return start(key);
    }
    const next =
      waiting.get(key) ??
      current.then(() => {
        waiting.delete(key);
        return start(key);
      });
    waiting.set(key, next);
    return next;
  };
}
