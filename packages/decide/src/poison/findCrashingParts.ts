import { groupByPart, type PartCrashes } from './_lib/partCrashes.js';
import { CRASH_MOMENT_MS, MAX_CHANCE, MIN_BLOCKING_CRASHES } from './constants.js';
import type { Crash, CrashingPart, PartEvidence } from './types.js';

/** Parts that were judged by the crashes they were in. */
export interface PartVerdicts {
  /** Parts that crash servers, in the order in which they were found. */
  readonly blamed: readonly CrashingPart[];
  /** Other parts that were in several crashes since the last output for them. */
  readonly open: readonly CrashingPart[];
}

interface Judged extends CrashingPart {
  readonly depth: number;
  readonly moments: number;
}

/** Counts the moments of crashes; those of one moment may have one cause. Times ascend. */
const countMoments = (timesMs: readonly number[]): number => {
  let lastMs = -Infinity;
  return timesMs.filter((atMs) => {
    const isApart = atMs - lastMs >= CRASH_MOMENT_MS;
    lastMs = isApart ? atMs : lastMs;
    return isApart;
  }).length;
};

const judge = (
  { part, depth, crashes: all }: PartCrashes,
  crashes: readonly Crash[],
  evidence: PartEvidence,
): Judged | undefined => {
  const sinceMs = evidence.lastOutputAtMs(part) ?? -Infinity;
  const involved = all.filter(({ crash }) => crash.atMs > sinceMs);
  const fingerprints = involved.flatMap((each) => each.fingerprints);
  const requests = new Set(fingerprints).size;
  const timesMs = involved.map(({ crash }) => crash.atMs);
  const moments = countMoments(timesMs);
  if (requests < 2 || moments < 2) {
    return undefined;
  }
  const [firstMs, lastMs] = [timesMs[0] as number, timesMs.at(-1) as number];
  const prompts = crashes
    .filter(({ atMs }) => atMs >= firstMs && atMs <= lastMs)
    .reduce((sum, crash) => sum + crash.prompts.size, 0);
  const losses = prompts - fingerprints.length;
  const outputs = evidence.countOutputs(firstMs, lastMs);
  const chance = ((losses + 1) / (losses + outputs + 1)) ** moments;
  return { part, crashes: involved.length, requests, outputs, losses, chance, depth, moments };
};

const toCrashingPart = ({ depth: _depth, moments: _moments, ...part }: Judged): CrashingPart => part;

/**
 * Finds the parts of prompts that crash servers. A part is blamed when servers crashed at several moments under
 * different prompts with it, no server has produced output for one since, and a part without influence would hardly be
 * that unlucky, because other prompts of the time got output far more often than they were lost. A crash that a blamed
 * part explains counts against no other part. Of parts that were in the same crashes, only the most specific one is
 * blamed.
 *
 * @param crashes - crashes of one pool that no blocked part explains, ascending by time
 * @param suspects - keys of the parts to judge
 * @param evidence - output of the servers in the same time
 * @returns the parts that were in several crashes, with the figures behind each verdict
 */
export default function findCrashingParts(
  crashes: readonly Crash[],
  suspects: readonly string[],
  evidence: PartEvidence,
): PartVerdicts {
  const isSuspect = new Set(suspects);
  const groups = groupByPart(crashes).filter(({ part }) => isSuspect.has(part));
  const judged = groups.flatMap((group) => judge(group, crashes, evidence) ?? []);
  const [worst] = judged
    .filter(({ chance, moments }) => chance < MAX_CHANCE && moments >= MIN_BLOCKING_CRASHES)
    .sort((one, other) => other.crashes - one.crashes || other.depth - one.depth || one.chance - other.chance);
  if (worst === undefined) {
    return { blamed: [], open: judged.map(toCrashingPart) };
  }
  const explained = new Set(groups.find(({ part }) => part === worst.part)?.crashes.map(({ crash }) => crash));
  const rest = findCrashingParts(
    crashes.filter((crash) => !explained.has(crash)),
    suspects.filter((part) => part !== worst.part),
    evidence,
  );
  return { blamed: [toCrashingPart(worst), ...rest.blamed], open: rest.open };
}
