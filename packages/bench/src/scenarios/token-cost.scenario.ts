import type { BenchRun } from '../load/benchTypes.js';
import runTokenBench, { type TokenPathResult } from '../overhead/runTokenBench.js';

const MEASURE_MS = 5_000;
const HEADER = ['| path | tokens/s | CPU us a token | failed |', '| --- | --- | --- | --- |'];

const formatRow = ({ path, tokensPerSecond, cpuUsPerToken, failed }: TokenPathResult): string =>
  `| ${path} | ${Math.round(tokensPerSecond)} | ${cpuUsPerToken.toFixed(1)} | ${failed} |`;

/** Measures the CPU time of an entry host per generated token, compared with a plain Node `http` forwarder. */
const runTokenCost: BenchRun = async ({ seeds }) => {
  const results = await runTokenBench({ seed: seeds[0] ?? 1, measureMs: MEASURE_MS });
  return { table: [...HEADER, ...results.map(formatRow)].join('\n'), json: results };
};

export default runTokenCost;
