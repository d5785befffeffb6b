import type { BenchRun } from '../load/benchTypes.js';
import formatOverhead from '../overhead/formatOverhead.js';
import runOverheadBench from '../overhead/runOverheadBench.js';

const MEASURE_MS = 5_000;

/** Measures requests/s on one core and the latency added by one hop, compared with a plain Node `http` forwarder. */
const runOverhead: BenchRun = async ({ seeds }) => {
  const result = await runOverheadBench({
    seed: seeds[0] ?? 1,
    measureMs: MEASURE_MS,
    entryArgs: [],
    print: (line) => console.error(line),
  });
  return { table: formatOverhead(result), json: result };
};

export default runOverhead;
