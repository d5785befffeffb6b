import type { Clock, Timer } from '@bergamotcove/clock';
import type { RequestRun } from './types.js';

/** A run with the body that started it. */
export interface KeyedRun {
  readonly run: RequestRun;
  readonly bodyHash: string;
}

/** Runs of this host by idempotency key, in flight and just finished. */
export interface KeyedRuns {
  find(key: string): KeyedRun | undefined;
  keep(key: string, keyed: KeyedRun): void;
  close(): void;
}

/** Time that a finished run can still be joined, for instance to resume its stream. */
const KEPT_RUN_MS = 60_000;

/**
 * Creates the memory of this host's runs.
 *
 * @param clock - clock of the host
 * @returns the runs
 */
export default function createKeyedRuns(clock: Clock): KeyedRuns {
  const runs = new Map<string, KeyedRun>();
  const timers = new Set<Timer>();
  let closed = false;
  const forget = (key: string, keyed: KeyedRun): void => {
    if (runs.get(key) === keyed) {
      runs.delete(key);
    }
  };
  return {
    find: (key) => runs.get(key),
    keep: (key, keyed) => {
      runs.set(key, keyed);
      keyed.run.result.then((result) => {
        if (closed) {
          return;
        }
        // A request that did not run must be able to run when it is sent again.
        const keptMs = result.type === 'refused' && result.outcome === 'not-run' ? 0 : KEPT_RUN_MS;
        const timer = clock.schedule(keptMs, () => {
          timers.delete(timer);
          forget(key, keyed);
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
