import type { Clock, Timer } from '@bergamotcove/clock';
import type { RequestRun } from './types.js';

/** A run with the body that started it. */
export interface KeyedRun {
  readonly run: RequestRun;
  readonly bodyHash: string;
}

/** Runs of this host by idempotency key, in flight and recently finished. */
export interface KeyedRuns {
  find(key: string): KeyedRun | undefined;
  add(key: string, entry: KeyedRun): void;
  close(): void;
}

/** Time for which a finished run can still be joined, for instance to resume its stream. */
const FINISHED_RUN_RETENTION_MS = 60_000;

/**
 * Creates an empty index of this host's runs by idempotency key.
 *
 * @param clock - clock that expires finished runs
 * @returns the runs; close them to stop their timers
 */
export default function createKeyedRuns(clock: Clock): KeyedRuns {
  const runs = new Map<string, KeyedRun>();
  const timers = new Set<Timer>();
  let closed = false;
  const remove = (key: string, entry: KeyedRun): void => {
    if (runs.get(key) === entry) {
      runs.delete(key);
    }
  };
  return {
    find: (key) => runs.get(key),
    add: (key, entry) => {
      runs.set(key, entry);
      entry.run.result.then((result) => {
        if (closed) {
          return;
        }
        // A request that did not run must be able to run when it is sent again.
        const retentionMs = result.type === 'refused' && result.outcome === 'not-run' ? 0 : FINISHED_RUN_RETENTION_MS;
        const timer = clock.schedule(retentionMs, () => {
          timers.delete(timer);
          remove(key, entry);
        });
        timers.add(timer);
      });
    },
    close: () => {
      closed = true;
      timers.forEach((timer) => timer.close());
    },
  };
}
