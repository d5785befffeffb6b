import { toError } from '@bergamotcove/errors';
import runCell, { type RunOptions } from './runCell.js';
import type { Cell, CellResult } from './types.js';

/**
 * Cells at a time; each has three entry hosts and ten servers in this process. With more, the one event loop delays
 * timers by more than the margin of the deadline.
 */
const CONCURRENT_CELLS = 5;

/** A cell that takes longer has lost a request or a process. */
const CELL_TIMEOUT_MS = 30_000;

const failCell = (cell: Cell, seed: number, text: string): CellResult => ({
  cell,
  seed,
  outcomes: [],
  violations: [text],
  durationMs: 0,
});

const runGuarded = async (cell: Cell, options: RunOptions): Promise<CellResult> => {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<CellResult>((resolve) => {
    timer = setTimeout(() => {
      resolve(failCell(cell, options.seed, `the cell did not finish in ${CELL_TIMEOUT_MS} ms`));
    }, CELL_TIMEOUT_MS);
  });
  try {
    return await Promise.race([runCell(cell, options), timeout]);
  } catch (cause) {
    return failCell(cell, options.seed, `the cell failed: ${toError(cause).stack}`);
  } finally {
    clearTimeout(timer);
  }
};

/**
 * Runs cells, several at a time.
 *
 * @param runs - cells and their seeds
 * @param options - called with each result in the order in which runs end
 * @returns all results
 */
export default async function runMatrix(
  runs: readonly { readonly cell: Cell; readonly options: RunOptions }[],
  options: { readonly onResult: (result: CellResult) => void },
): Promise<readonly CellResult[]> {
  const queue = [...runs];
  const results: CellResult[] = [];
  const work = async (): Promise<void> => {
    for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
      const result = await runGuarded(next.cell, next.options);
      results.push(result);
      options.onResult(result);
    }
  };
  await Promise.all(Array.from({ length: CONCURRENT_CELLS }, work));
  return results;
}
