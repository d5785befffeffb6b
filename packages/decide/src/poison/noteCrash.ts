import expireState from './_lib/expireState.js';
import mergeCrash from './_lib/mergeCrash.js';
import { CLEARING_RUNS, CRASH_MERGE_MS, RUN_LEAD_MS, RUN_MEMORY_MS, SURE_CRASHES } from './constants.js';
import type { Charge, Crash, CrashEvent, CrashStep, PoisonState } from './types.js';

/** Start of the latest crashes under a request that are enough for a charge and do not come all at one moment. */
const findSpreadStart = (under: readonly Crash[]): number | undefined => {
  const timesMs = under.map(({ atMs }) => atMs).sort((one, other) => other - one);
  return timesMs.slice(SURE_CRASHES - 1).find((atMs) => (timesMs[0] as number) - atMs >= CRASH_MERGE_MS);
};

/** The charge of a request that ran in enough crashes; those of one moment may be an outage. */
const chargeSure = ({ crashes }: PoisonState, fingerprint: string, nowMs: number): readonly Charge[] => {
  const under = crashes.filter(
    ({ fingerprints, answered }) => fingerprints.has(fingerprint) || answered.has(fingerprint),
  );
  const spreadStartMs = findSpreadStart(under);
  if (spreadStartMs !== undefined) {
    return [{ fingerprint, isSpread: true, sinceMs: spreadStartMs - RUN_LEAD_MS, clearingRuns: CLEARING_RUNS }];
  }
  const sure = under.filter(({ doubtful, answered }) => !doubtful.has(fingerprint) && !answered.has(fingerprint));
  return sure.length < SURE_CRASHES
    ? []
    : [{ fingerprint, isSpread: false, sinceMs: nowMs - RUN_MEMORY_MS, clearingRuns: CLEARING_RUNS }];
};

const listCommon = (one: Crash, other: Crash): readonly string[] =>
  [...one.fingerprints].filter((fingerprint) => other.fingerprints.has(fingerprint));

/** The charge of the only request that two crashes of different servers have in common. */
const chargeCommon = (earlier: Crash, latest: Crash, nowMs: number): readonly Charge[] => {
  const common = listCommon(earlier, latest);
  const isDoubtful = common.some((each) => earlier.doubtful.has(each) || latest.doubtful.has(each));
  return common.length !== 1 || isDoubtful
    ? []
    : common.map((fingerprint) => ({
        fingerprint,
        isSpread: false,
        sinceMs: nowMs - RUN_MEMORY_MS,
        clearingRuns: 1,
      }));
};

/**
 * Notes a crash and finds the requests that it speaks against: those that ran in enough crashes, and the only one that
 * it has in common with the crash of another server. Two crashes of one server may be its own fault, several common
 * requests leave open which one is to blame, and one that met a silent server, or whose answer had begun, may have run
 * well. A request that many callers send can be on several servers that end by themselves; its answers tell it from one
 * that ends every server.
 *
 * @param state - state before the crash
 * @param event - the crash, or one more report of it
 * @param nowMs - monotonic time
 * @returns the new state and the requests that are charged, the hardest charge of each
 */
export default function noteCrash(state: PoisonState, event: CrashEvent, nowMs: number): CrashStep {
  const current = expireState(state, nowMs);
  const crashes = mergeCrash(current.crashes, event, nowMs);
  const next = { ...current, crashes };
  const latest = crashes.at(-1) as Crash;
  const suspects = new Set([...latest.fingerprints, ...latest.answered]);
  const sure = [...suspects].flatMap((fingerprint) => chargeSure(next, fingerprint, nowMs));
  const charged = new Set(sure.map(({ fingerprint }) => fingerprint));
  const common = crashes
    .filter(({ serverId }) => serverId !== latest.serverId)
    .flatMap((earlier) => chargeCommon(earlier, latest, nowMs))
    .filter(({ fingerprint }) => !charged.has(fingerprint));
  return {
    state: next,
    charges: [...sure, ...new Map(common.map((charge) => [charge.fingerprint, charge])).values()],
  };
}
