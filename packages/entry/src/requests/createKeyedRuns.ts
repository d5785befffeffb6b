import type { Clock } from '@bergamotcove/clock';
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
        // A request that did not run must be able to run when it is sent again.
        const keptMs = result.type === 'refused' && result.outcome === 'not-run' ? 0 : KEPT_RUN_MS;
        clock.schedule(keptMs, () => forget(key, keyed));
      });
    },
  };
}
