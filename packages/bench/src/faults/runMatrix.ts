import { toError } from '@bergamotcove/errors';
import startCellWorker, { type CellWorker, type ResultMessage } from './startCellWorker.js';
import isVoidRun from './isVoidRun.js';
import type { CellResult } from './types.js';
import type { MatrixRun } from './workerMessages.js';

/**
 * Default number of worker processes. Each runs one cell at a time: cells that share an event loop delay each other's
 * timers by more than the margin of the deadline when the machine is busy. One worker needs about a quarter of a core.
 */
export const DEFAULT_PROCESSES = 4;

/** Cells per worker process; crashed hosts leave timers behind that end only with the process. */
const RUNS_PER_WORKER = 40;

/** Maximum runs of a cell. The last result stands: after three runs short of processor time the machine is too busy. */
const MAX_RUNS = 3;

/** Keeps one worker process and replaces it after RUNS_PER_WORKER runs or a failure. */
class WorkerSlot {
  private worker: CellWorker | undefined;

  async run(run: MatrixRun): Promise<ResultMessage> {
    try {
      this.worker ??= await startCellWorker();
      const message = await this.worker.run(run);
      if (this.worker.runs() >= RUNS_PER_WORKER) {
        this.close();
      }
      return message;
    } catch (cause) {
      this.close();
      const violations = [`the cell did not finish: ${toError(cause).message}`];
      const result = { cell: run.cell, seed: run.options.seed, outcomes: [], violations, durationMs: 0 };
      return { type: 'result', result, runDelayMs: 0 };
    }
  }

  close(): void {
    this.worker?.close();
    this.worker = undefined;
  }
}

/** Options of {@link runMatrix}. */
export interface MatrixOptions {
  /** Number of worker processes. */
  readonly processes?: number;
  /** Called with each result in the order in which runs end. */
  readonly onResult: (result: CellResult) => void;
  /** Called with each run that is repeated because its worker had no processor for too long. */
  readonly onVoidRun: (result: CellResult, runDelayMs: number) => void;
}

const runUntilValid = async (slot: WorkerSlot, run: MatrixRun, options: MatrixOptions): Promise<CellResult> => {
  let message = await slot.run(run);
  for (let runs = 1; runs < MAX_RUNS && isVoidRun(message.result, message.runDelayMs); runs += 1) {
    options.onVoidRun(message.result, message.runDelayMs);
    message = await slot.run(run);
  }
  return message.result;
};

/**
 * Runs cells in worker processes.
 *
 * @param runs - cells and their seeds
 * @param options - number of processes and listeners
 * @returns all results
 */
export default async function runMatrix(
  runs: readonly MatrixRun[],
  options: MatrixOptions,
): Promise<readonly CellResult[]> {
  const queue = [...runs];
  const results: CellResult[] = [];
  const work = async (): Promise<void> => {
    const slot = new WorkerSlot();
    for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
      const result = await runUntilValid(slot, next, options);
      results.push(result);
      options.onResult(result);
    }
    slot.close();
  };
  await Promise.all(Array.from({ length: options.processes ?? DEFAULT_PROCESSES }, work));
  return results;
}
