import { groupByPart, isExplained } from './_lib/partCrashes.js';
import { MIN_CRASH_SPREAD_MS, SAME_PROCESS_MERGE_MS } from './constants.js';
import type { Crash, PoisonState } from './types.js';

/** Parts of prompts that may crash servers, with the crashes of their pool. */
export interface PartSuspects {
  readonly parts: readonly string[];
  /** Crashes of the pool that no blocked part explains, ascending by time. */
  readonly crashes: readonly Crash[];
}

/** Whether the last one of some crashes is recent, and the first one was at another moment. */
const isSpreadUntilNow = (crashes: readonly Crash[], nowMs: number): boolean => {
  const timesMs = crashes.map(({ atMs }) => atMs);
  const lastMs = Math.max(...timesMs);
  return nowMs - lastMs < SAME_PROCESS_MERGE_MS && lastMs - Math.min(...timesMs) >= MIN_CRASH_SPREAD_MS;
};

/**
 * Lists the parts of prompts that were in a recent crash of a pool and in an earlier one too. Crashes of one moment may
 * be an outage and lead to no suspects.
 *
 * @param state - crashes and blocks that the host knows
 * @param pool - pool of the servers
 * @param nowMs - monotonic time
 * @returns the suspects with the crashes to judge them by
 */
export default function listPartSuspects(state: PoisonState, pool: string, nowMs: number): PartSuspects {
  const crashes = state.crashes
    .filter((crash) => crash.pool === pool && !isExplained(crash, state.blocks))
    .sort((one, other) => one.atMs - other.atMs);
  const parts = groupByPart(crashes)
    .filter((group) =>
      isSpreadUntilNow(
        group.crashes.map(({ crash }) => crash),
        nowMs,
      ),
    )
    .map(({ part }) => part);
  return { parts, crashes };
}
