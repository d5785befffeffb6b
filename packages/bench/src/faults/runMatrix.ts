import { toError } from '@bergamotcove/errors';
import startCellWorker, { type CellWorker } from './startCellWorker.js';
import type { CellResult } from './types.js';
import type { MatrixRun } from './workerMessages.js';

/**
 * Worker processes by default. Each runs one cell at a time: cells that share an event loop delay each other's timers
 * by more than the margin of the deadline when the machine is busy. One worker needs about a quarter of a core.
 */
export const DEFAULT_PROCESSES = 4;

/** Hosts that crashed leave timers behind, which only the end of their process removes. */
const RUNS_PER_WORKER = 40;

/** Keeps one worker process and replaces it when it is used up or has failed. */
class WorkerSlot {
  private worker: CellWorker | undefined;

  async run(run: MatrixRun): Promise<CellResult> {
    try {
      this.worker ??= await startCellWorker();
      const result = await this.worker.run(run);
      if (this.worker.runs() >= RUNS_PER_WORKER) {
        this.close();
      }
      return result;
    } catch (cause) {
      this.close();
      const violations = [`the cell did not finish: ${toError(cause).message}`];
      return { cell: run.cell, seed: run.options.seed, outcomes: [], violations, durationMs: 0 };
    }
  }

  close(): void {
    this.worker?.close();
    this.worker = undefined;
  }
}

/**
 * Runs cells in worker processes.
 *
 * @param runs - cells and their seeds
 * @param options - number of worker processes; `onResult` is called with each result in the order in which runs end
 * @returns all results
 */
export default async function runMatrix(
  runs: readonly MatrixRun[],
  options: { readonly processes?: number; readonly onResult: (result: CellResult) => void },
): Promise<readonly CellResult[]> {
  const queue = [...runs];
  const results: CellResult[] = [];
  const work = async (): Promise<void> => {
    const slot = new WorkerSlot();
    for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
      const result = await slot.run(next);
      results.push(result);
      options.onResult(result);
    }
    slot.close();
  };
  await Promise.all(Array.from({ length: options.processes ?? DEFAULT_PROCESSES }, work));
  return results;
}
