import type { Clock } from '@bergamotcove/clock';

/** Waits for a promise for at most the given time; resolves to undefined when the time is over. */
export default function withLimit<Value>(
  clock: Clock,
  limitMs: number,
  promise: Promise<Value>,
): Promise<Value | undefined> {
  return new Promise((resolve, reject) => {
    const timer = clock.schedule(limitMs, () => resolve(undefined));
    promise.then((value) => {
      timer.close();
      resolve(value);
    }, reject);
  });
}
