import createRandom from '../faults/createRandom.js';
import runPartModel from './runPartModel.js';
import type { ModelCrashingPart, ModelOutage, PartModelResult } from './types.js';

/** Options of {@link runPartExperiment}. */
export interface PartExperimentOptions {
  readonly seed: number;
  /** Runs of each case. */
  readonly runs: number;
  readonly servers: number;
}

/** Results of the runs of one case. */
export interface PartCaseResult {
  readonly name: string;
  readonly runs: number;
  readonly outages: number;
  readonly prompts: number;
  /** Number of parts that were blocked falsely, and of runs with one. */
  readonly falselyBlocked: number;
  readonly runsWithFalseBlocks: number;
  /** Largest share of the sound prompts of a run that were refused. */
  readonly maxRefusedShare: number;
  /** Number of crashing parts that were never found. */
  readonly missed: number;
  /** Crashes until a part was found: median, 95th percentile and maximum. */
  readonly crashes: readonly [number, number, number] | undefined;
  readonly foundAfterMs: number | undefined;
}

interface Case {
  readonly name: string;
  readonly outages: (random: () => number) => readonly ModelOutage[];
  readonly crashingParts: readonly ModelCrashingPart[];
}

const LENGTH_MS = 20_000;
const PROMPTS_PER_SECOND = 2.5;
const FAULT_MS = 4_000;

/** Time after which servers that ended serve again. */
const DOWN_AND_UP_MS = 4_000;

const outage = (share: number, atMs = FAULT_MS, spreadMs = 0): ModelOutage => ({ share, atMs, spreadMs });

const CASES: readonly Case[] = [
  { name: 'one outage', outages: (random) => [outage(0.05 + random() * 0.6)], crashingParts: [] },
  {
    name: 'outages in series',
    outages: (random) =>
      [0, 1, 2, 3, 4].map((nth) => outage(0.02 + random() * 0.4, FAULT_MS + nth * (600 + random() * 2_500))),
    crashingParts: [],
  },
  {
    name: 'servers end one after the other',
    outages: (random) => [outage(0.1 + random() * 0.5, FAULT_MS, 2_000 + random() * 8_000)],
    crashingParts: [],
  },
  {
    name: 'all servers, twice',
    outages: (random) => [outage(1), outage(1, FAULT_MS + DOWN_AND_UP_MS + random() * 3_000)],
    crashingParts: [],
  },
  ...(['first', 'additional'] as const).flatMap((place) =>
    [0.002, 0.01, 0.05].map((share) => ({
      name: `a crashing part: ${place}, ${share} of the prompts`,
      outages: () => [],
      crashingParts: [{ place, share, fromMs: FAULT_MS }],
    })),
  ),
  {
    name: 'an additional crashing part, and outages in series',
    outages: (random: () => number) => [0, 1, 2].map((nth) => outage(0.1 + random() * 0.3, FAULT_MS + nth * 2_000)),
    crashingParts: [{ place: 'additional', share: 0.01, fromMs: FAULT_MS }],
  },
  {
    name: 'two crashing parts',
    outages: () => [],
    crashingParts: [
      { place: 'additional', share: 0.01, fromMs: FAULT_MS },
      { place: 'additional', share: 0.01, fromMs: FAULT_MS },
    ],
  },
];

const readQuantile = (ascending: readonly number[], share: number): number =>
  ascending[Math.min(ascending.length - 1, Math.floor(share * ascending.length))] ?? 0;

const summarise = (name: string, outages: number, results: readonly PartModelResult[]): PartCaseResult => {
  const found = results.flatMap(({ crashesUntilFound, foundAfterMs }) =>
    crashesUntilFound.filter((_, index) => foundAfterMs[index] !== undefined),
  );
  const times = results.flatMap(({ foundAfterMs }) => foundAfterMs.filter((each) => each !== undefined));
  const crashes = [...found].sort((one, other) => one - other);
  return {
    name,
    runs: results.length,
    outages,
    prompts: results.reduce((sum, { prompts }) => sum + prompts, 0),
    falselyBlocked: results.reduce((sum, { falselyBlocked }) => sum + falselyBlocked.length, 0),
    runsWithFalseBlocks: results.filter(({ falselyBlocked }) => falselyBlocked.length > 0).length,
    maxRefusedShare: Math.max(...results.map(({ refusedShare }) => refusedShare)),
    missed: results.flatMap(({ foundAfterMs }) => foundAfterMs).filter((each) => each === undefined).length,
    crashes:
      crashes.length === 0 ? undefined : [readQuantile(crashes, 0.5), readQuantile(crashes, 0.95), crashes.at(-1) ?? 0],
    foundAfterMs: times.length === 0 ? undefined : Math.max(...times),
  };
};

/**
 * Runs the model of crashing parts many times: outages without a crashing part, which must block none, and
 * crashing parts with and without outages.
 *
 * @param options - seed, runs of each case and number of servers
 * @returns the result of each case
 */
export default function runPartExperiment({ seed, runs, servers }: PartExperimentOptions): readonly PartCaseResult[] {
  return CASES.map(({ name, outages: drawOutages, crashingParts }, nth) => {
    let outages = 0;
    const results = Array.from({ length: runs }, (_, index) => {
      const runSeed = (seed * CASES.length + nth) * runs + index + 1;
      const drawn = drawOutages(createRandom(runSeed, 'part-outages'));
      outages += drawn.length;
      return runPartModel({
        seed: runSeed,
        servers,
        promptsPerSecond: PROMPTS_PER_SECOND,
        lengthMs: LENGTH_MS,
        outages: drawn,
        crashingParts,
      });
    });
    return summarise(name, outages, results);
  });
}
