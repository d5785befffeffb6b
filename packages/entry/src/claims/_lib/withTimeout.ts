import type { Clock } from '@bergamotcove/clock';

/** Waits at most `limitMs` for a promise; resolves to undefined on timeout. */
export default function withTimeout<Value>(
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
