import expireState from './_lib/expireState.js';
import mergeCrash from './_lib/mergeCrash.js';
import { isExplained } from './_lib/partCrashes.js';
import { CLEARING_RUNS, CRASH_MERGE_MS, RUN_LOOKBACK_MS, RUN_RETENTION_MS, MIN_BLOCKING_CRASHES } from './constants.js';
import type { PoisonSuspect, Crash, CrashEvent, CrashStep, PoisonState } from './types.js';

/** Time of the first of the latest crashes that are enough to suspect a request and did not all occur at once. */
const findSpreadStart = (crashes: readonly Crash[]): number | undefined => {
  const timesMs = crashes.map(({ atMs }) => atMs).sort((one, other) => other - one);
  return timesMs.slice(MIN_BLOCKING_CRASHES - 1).find((atMs) => (timesMs[0] as number) - atMs >= CRASH_MERGE_MS);
};

/**
 * Suspects a request that ran in enough crashes. Simultaneous crashes may be an outage, so that only those count in
 * which the request is not doubtful and had not been answered.
 */
const suspectAfterEnoughCrashes = (
  crashes: readonly Crash[],
  fingerprint: string,
  nowMs: number,
): readonly PoisonSuspect[] => {
  const involved = crashes.filter(
    ({ fingerprints, answered }) => fingerprints.has(fingerprint) || answered.has(fingerprint),
  );
  const spreadStartMs = findSpreadStart(involved);
  if (spreadStartMs !== undefined) {
    return [{ fingerprint, isSpread: true, sinceMs: spreadStartMs - RUN_LOOKBACK_MS, clearingRuns: CLEARING_RUNS }];
  }
  const certain = involved.filter(({ doubtful, answered }) => !doubtful.has(fingerprint) && !answered.has(fingerprint));
  return certain.length < MIN_BLOCKING_CRASHES
    ? []
    : [{ fingerprint, isSpread: false, sinceMs: nowMs - RUN_RETENTION_MS, clearingRuns: CLEARING_RUNS }];
};

const listCommon = (one: Crash, other: Crash): readonly string[] =>
  [...one.fingerprints].filter((fingerprint) => other.fingerprints.has(fingerprint));

/** Suspects the only request that two crashes of different servers have in common. */
const suspectOnlyCommon = (earlier: Crash, latest: Crash, nowMs: number): readonly PoisonSuspect[] => {
  const common = listCommon(earlier, latest);
  const isDoubtful = common.some((each) => earlier.doubtful.has(each) || latest.doubtful.has(each));
  return common.length !== 1 || isDoubtful
    ? []
    : common.map((fingerprint) => ({
        fingerprint,
        isSpread: false,
        sinceMs: nowMs - RUN_RETENTION_MS,
        clearingRuns: 1,
      }));
};

/**
 * Records a crash and finds the requests that may have caused it: those that ran in enough crashes, and the only one
 * that it has in common with the crash of another server. Two crashes of one server may be a fault of that server.
 * Several common requests leave open which of them caused the crashes. A request on a server that stopped responding,
 * or whose answer had begun, may have been harmless. A request that many callers send may run on several servers that
 * end for other reasons; its successful runs distinguish it from a request that crashes every server. A crash that a
 * blocked part of a prompt explains is recorded and leads to no suspicion of requests.
 *
 * @param state - state before the crash
 * @param event - the crash, or a further report of it
 * @param nowMs - monotonic time
 * @returns the new state and the suspected requests, each with its strongest evidence
 */
export default function noteCrash(state: PoisonState, event: CrashEvent, nowMs: number): CrashStep {
  const current = expireState(state, nowMs);
  const crashes = mergeCrash(current.crashes, event, nowMs);
  const next = { ...current, crashes };
  const latest = crashes.at(-1) as Crash;
  if (isExplained(latest, current.blocks)) {
    return { state: next, suspects: [] };
  }
  const unexplained = crashes.filter((crash) => !isExplained(crash, current.blocks));
  const suspects = new Set([...latest.fingerprints, ...latest.answered]);
  const repeated = [...suspects].flatMap((fingerprint) => suspectAfterEnoughCrashes(unexplained, fingerprint, nowMs));
  const alreadySuspect = new Set(repeated.map(({ fingerprint }) => fingerprint));
  const common = unexplained
    .filter(({ serverId }) => serverId !== latest.serverId)
    .flatMap((earlier) => suspectOnlyCommon(earlier, latest, nowMs))
    .filter(({ fingerprint }) => !alreadySuspect.has(fingerprint));
  return {
    state: next,
    suspects: [...repeated, ...new Map(common.map((suspect) => [suspect.fingerprint, suspect])).values()],
  };
}
