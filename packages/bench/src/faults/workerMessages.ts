import type { RunOptions } from './runCell.js';
import type { Cell, CellResult } from './types.js';

/** One run of one cell, as sent to a worker process. */
export interface MatrixRun {
  readonly cell: Cell;
  readonly options: RunOptions;
}

/** Message of a worker process to the matrix process. */
export type WorkerMessage =
  | { readonly type: 'ready' }
  | {
      readonly type: 'result';
      readonly result: CellResult;
      /** Longest run delay (ready to run, but without a processor) in any time as long as the deadline of a request. */
      readonly runDelayMs: number;
    };
