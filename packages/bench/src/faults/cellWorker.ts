/** Worker process of the fault matrix: runs the cells that it receives, one at a time. */
import { toError } from '@bergamotcove/errors';
import { DEADLINE_MS } from './constants.js';
import findLargestGrowth, { type CounterSample } from './findLargestGrowth.js';
import readRunDelay from './readRunDelay.js';
import runCell from './runCell.js';
import type { Cell, CellResult } from './types.js';
import type { MatrixRun, WorkerMessage } from './workerMessages.js';

/** Interval between two readings of the run delay. */
const SAMPLE_MS = 100;

/** A run without faults. Without it the first cell also measures the loading and compiling of the modules. */
const WARM_UP: Cell = { name: 'warm-up', operation: 'post-entry', injections: [], allowed: ['answered'] };

const report = (message: WorkerMessage): void => {
  process.send?.(message);
};

const runAndCatch = async ({ cell, options }: MatrixRun): Promise<CellResult> => {
  try {
    return await runCell(cell, options);
  } catch (cause) {
    const violations = [`the cell failed: ${toError(cause).stack}`];
    return { cell, seed: options.seed, outcomes: [], violations, durationMs: 0 };
  }
};

/** Runs one cell and reports its result with the largest run delay in any window as long as the deadline. */
const runAndMeasure = async (run: MatrixRun): Promise<void> => {
  const samples: CounterSample[] = [];
  const sample = (): void => {
    samples.push({ atMs: performance.now(), value: readRunDelay() });
  };
  sample();
  const timer = setInterval(sample, SAMPLE_MS);
  const result = await runAndCatch(run);
  clearInterval(timer);
  sample();
  report({ type: 'result', result, runDelayMs: findLargestGrowth(samples, DEADLINE_MS) });
};

process.on('message', (run: MatrixRun) => {
  runAndMeasure(run).catch(() => process.exit(1));
});
// The worker must not outlive the matrix.
process.on('disconnect', () => process.exit());
runAndCatch({ cell: WARM_UP, options: { seed: 1 } }).then(() => report({ type: 'ready' }));
