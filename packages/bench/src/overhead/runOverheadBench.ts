import { GENERATORS, WARM_UP_MS } from './constants.js';
import readCpuSeconds from './readCpuSeconds.js';
import runGenerators, { type MergedReport } from './runGenerators.js';
import startOverheadSetup, { OVERHEAD_SERVICE, type OverheadSetup } from './startOverheadSetup.js';
import type { LoadMode, LoadTask, OverheadResult, PathName, PathResult } from './types.js';

/** Options of {@link runOverheadBench}. */
export interface OverheadOptions {
  readonly seed: number;
  /** Length of each run; a run for saturation and one for latency on each of four paths. */
  readonly measureMs: number;
  /** Arguments for the Node process of the entry host, for instance `--cpu-prof`. */
  readonly entryArgs?: readonly string[];
  readonly print: (line: string) => void;
}

/** One path and how to reach it. */
interface PathSpec {
  readonly path: PathName;
  readonly port: number;
  readonly urlPath: string;
  readonly body: string;
  /** Process whose CPU time is counted. */
  readonly pid?: number;
}

const CONCURRENCY = 16;
const INPUT_BYTES = 400;
const MS_PER_SECOND = 1_000;
const US_PER_MS = 1_000;
const THREE_HOPS = 3;

const INPUT = { text: 'x'.repeat(INPUT_BYTES) };

const stageBody = JSON.stringify({
  attemptId: 'a1',
  requestId: 'r1',
  organisation: 'casa',
  operation: 'one-hop',
  input: INPUT,
});

const callerBody = (operation: string): string => JSON.stringify({ organisation: 'casa', operation, input: INPUT });

const listPaths = (setup: OverheadSetup): readonly PathSpec[] => {
  const servicePath = `/v1/services/${OVERHEAD_SERVICE}/requests`;
  const stagePath = '/v1/stages/encode';
  const entry = { port: setup.entryPort, urlPath: servicePath, pid: setup.entry.pid };
  return [
    { path: 'direct', port: setup.serverPort, urlPath: stagePath, body: stageBody },
    { path: 'forwarder', port: setup.forwarderPort, urlPath: stagePath, body: stageBody, pid: setup.forwarder.pid },
    { path: 'entry-1-hop', body: callerBody('one-hop'), ...entry },
    { path: 'entry-3-hops', body: callerBody('three-hops'), ...entry },
  ];
};

const runLoad = (spec: PathSpec, mode: LoadMode, options: OverheadOptions): Promise<MergedReport> =>
  runGenerators(
    Array.from({ length: GENERATORS }, (_, index): LoadTask => ({
      port: spec.port,
      path: spec.urlPath,
      body: spec.body,
      mode,
      warmUpMs: WARM_UP_MS,
      measureMs: options.measureMs,
      seed: options.seed + index,
    })),
  );

/** Throughput of one path at saturation. */
interface Saturation {
  readonly perSecond: number;
  readonly perCpuSecond?: number;
  readonly failed: number;
}

const measureSaturation = async (spec: PathSpec, options: OverheadOptions): Promise<Saturation> => {
  const cpuBefore = spec.pid === undefined ? 0 : readCpuSeconds(spec.pid);
  const report = await runLoad(spec, { type: 'closed', concurrency: CONCURRENCY }, options);
  const cpuSeconds = spec.pid === undefined ? 0 : readCpuSeconds(spec.pid) - cpuBefore;
  const perSecond = (report.answered / options.measureMs) * MS_PER_SECOND;
  // The CPU time covers the warm-up as well, in which the rate is about the same.
  const loadedSeconds = (options.measureMs + WARM_UP_MS) / MS_PER_SECOND;
  options.print(`${spec.path}: ${Math.round(perSecond)} requests/s at saturation`);
  return {
    perSecond,
    failed: report.failed,
    ...(spec.pid === undefined ? {} : { perCpuSecond: (perSecond * loadedSeconds) / cpuSeconds }),
  };
};

const measureLatency = async (
  spec: PathSpec,
  saturation: Saturation,
  options: OverheadOptions & { readonly offeredPerSecond: number },
): Promise<PathResult> => {
  const { offeredPerSecond } = options;
  const report = await runLoad(spec, { type: 'open', requestsPerSecond: offeredPerSecond / GENERATORS }, options);
  return {
    path: spec.path,
    saturationPerSecond: saturation.perSecond,
    ...(saturation.perCpuSecond === undefined ? {} : { perCpuSecond: saturation.perCpuSecond }),
    offeredPerSecond,
    failed: saturation.failed + report.failed,
    p50Ms: report.latencyUs.getValueAtPercentile(50) / US_PER_MS,
    p99Ms: report.latencyUs.getValueAtPercentile(99) / US_PER_MS,
  };
};

/** Half of the saturation of the entry host; the direct path and the forwarder get the rate of the one-hop path. */
const chooseRate = (path: PathName, saturations: ReadonlyMap<PathName, Saturation>): number => {
  const limiting = path === 'entry-3-hops' ? path : 'entry-1-hop';
  return (saturations.get(limiting) as Saturation).perSecond / 2;
};

const measurePaths = async (specs: readonly PathSpec[], options: OverheadOptions): Promise<readonly PathResult[]> => {
  const saturations = new Map<PathName, Saturation>();
  for (const spec of specs) {
    saturations.set(spec.path, await measureSaturation(spec, options));
  }
  const results: PathResult[] = [];
  for (const spec of specs) {
    const offeredPerSecond = chooseRate(spec.path, saturations);
    const saturation = saturations.get(spec.path) as Saturation;
    results.push(await measureLatency(spec, saturation, { ...options, offeredPerSecond }));
  }
  return results;
};

const findPath = (paths: readonly PathResult[], name: PathName): PathResult =>
  paths.find((path) => path.path === name) as PathResult;

const subtract = (path: PathResult, base: PathResult, hops: number) => ({
  p50Ms: (path.p50Ms - base.p50Ms) / hops,
  p99Ms: (path.p99Ms - base.p99Ms) / hops,
});

const summarise = (paths: readonly PathResult[], seed: number): OverheadResult => {
  const direct = findPath(paths, 'direct');
  const forwarder = findPath(paths, 'forwarder');
  const oneHop = findPath(paths, 'entry-1-hop');
  const perHopOfOne = subtract(oneHop, direct, 1);
  const perHopOfThree = subtract(findPath(paths, 'entry-3-hops'), direct, THREE_HOPS);
  return {
    seed,
    paths,
    addedPerHop: {
      p50Ms: Math.max(perHopOfOne.p50Ms, perHopOfThree.p50Ms),
      p99Ms: Math.max(perHopOfOne.p99Ms, perHopOfThree.p99Ms),
    },
    addedByForwarder: subtract(forwarder, direct, 1),
    throughputShare: oneHop.saturationPerSecond / forwarder.saturationPerSecond,
  };
};

/**
 * Measures what an entry host costs: throughput of one process and latency added per hop, beside a plain Node `http`
 * forwarder in the same run. Saturation is found with a fixed number of open requests; latency is measured open loop
 * at half of it, on all paths at the same rate. The larger of the figures for one and three hops is reported.
 *
 * @param options - seed and length of the runs
 * @returns the result
 */
export default async function runOverheadBench(options: OverheadOptions): Promise<OverheadResult> {
  const setup = await startOverheadSetup({ entryArgs: options.entryArgs ?? [] });
  try {
    return summarise(await measurePaths(listPaths(setup), options), options.seed);
  } finally {
    await setup.stop();
  }
}
