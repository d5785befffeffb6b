import type { RunOptions } from './runCell.js';
import type { Cell, CellResult } from './types.js';

/** One run of one cell, as it is given to a worker process. */
export interface MatrixRun {
  readonly cell: Cell;
  readonly options: RunOptions;
}

/** What a worker process reports. */
export type WorkerMessage =
  | { readonly type: 'ready' }
  | {
      readonly type: 'result';
      readonly result: CellResult;
      /** Time in which the worker was ready to run during the cell and had no processor. */
      readonly runDelayMs: number;
    };
