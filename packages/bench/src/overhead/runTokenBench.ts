import { GENERATORS, STREAM_TOKENS, WARM_UP_MS } from './constants.js';
import readCpuSeconds from './readCpuSeconds.js';
import runGenerators from './runGenerators.js';
import startOverheadSetup, { OVERHEAD_SERVICE, type OverheadSetup } from './startOverheadSetup.js';

/** Options of {@link runTokenBench}. */
export interface TokenBenchOptions {
  readonly seed: number;
  readonly measureMs: number;
  /** Arguments for the Node process of the entry host, for instance `--cpu-prof`. */
  readonly entryArgs?: readonly string[];
}

/** Cost of the tokens on one path. */
export interface TokenPathResult {
  readonly path: 'forwarder' | 'entry-whole' | 'entry-stream';
  readonly tokensPerSecond: number;
  /** CPU time of all threads of the process for one token, requests included. */
  readonly cpuUsPerToken: number;
  readonly failed: number;
}

interface PathSpec {
  readonly path: TokenPathResult['path'];
  readonly port: number;
  readonly urlPath: string;
  readonly body: string;
  readonly pid: number;
}

const MS_PER_SECOND = 1_000;
const US_PER_SECOND = 1_000_000;
/** Open streams of each generator; within the window of a host at a server that reports no load. */
const STREAMS = 6;

const listPaths = (setup: OverheadSetup): readonly PathSpec[] => {
  const call = { organisation: 'casa', operation: 'stream', input: { text: 'summary' } };
  const entry = {
    port: setup.entryPort,
    urlPath: `/v1/services/${OVERHEAD_SERVICE}/requests`,
    pid: setup.entry.pid,
  };
  return [
    {
      path: 'forwarder',
      port: setup.forwarderPort,
      urlPath: '/v1/completions',
      body: '{}',
      pid: setup.forwarder.pid,
    },
    { path: 'entry-whole', body: JSON.stringify({ ...call, stream: false }), ...entry },
    { path: 'entry-stream', body: JSON.stringify({ ...call, stream: true }), ...entry },
  ];
};

const measurePath = async (spec: PathSpec, options: TokenBenchOptions): Promise<TokenPathResult> => {
  const cpuBefore = readCpuSeconds(spec.pid);
  const report = await runGenerators(
    Array.from({ length: GENERATORS }, (_, index) => ({
      port: spec.port,
      path: spec.urlPath,
      body: spec.body,
      mode: { type: 'closed' as const, concurrency: STREAMS },
      warmUpMs: WARM_UP_MS,
      measureMs: options.measureMs,
      seed: options.seed + index,
    })),
  );
  const cpuSeconds = readCpuSeconds(spec.pid) - cpuBefore;
  const tokensPerSecond = (report.answered * STREAM_TOKENS * MS_PER_SECOND) / options.measureMs;
  // The CPU time covers the warm-up as well, in which the rate is about the same.
  const loadedSeconds = (options.measureMs + WARM_UP_MS) / MS_PER_SECOND;
  return {
    path: spec.path,
    tokensPerSecond,
    cpuUsPerToken: (cpuSeconds * US_PER_SECOND) / (tokensPerSecond * loadedSeconds),
    failed: report.failed,
  };
};

/**
 * Measures the CPU time that an entry host needs for each generated token, whole answers and streams, beside a plain
 * Node `http` forwarder of the same streams in the same run.
 *
 * @param options - seed and length of the runs
 * @returns the result of each path
 */
export default async function runTokenBench(options: TokenBenchOptions): Promise<readonly TokenPathResult[]> {
  const setup = await startOverheadSetup({ entryArgs: options.entryArgs ?? [] });
  const results: TokenPathResult[] = [];
  try {
    for (const spec of listPaths(setup)) {
      results.push(await measurePath(spec, options));
    }
    return results;
  } finally {
    await setup.stop();
  }
}
