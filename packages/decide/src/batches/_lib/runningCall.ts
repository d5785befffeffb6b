import type { WaitingPiece } from './queuedJob.js';
import type { ServerState } from './createServerBook.js';

/** A call in progress. */
export interface RunningCall {
  readonly state: ServerState;
  readonly pieces: readonly WaitingPiece[];
  readonly sentAtMs: number;
  readonly expectedMs: number;
  /** Whether its pieces were queued again because it takes too long. */
  overdue: boolean;
}

/** A call that takes this many times as long as expected, and the margin besides, is overdue. */
const OVERDUE_FACTOR = 2;
const OVERDUE_MARGIN_MS = 100;

/** Time at which the pieces of a call are queued again, because its server may hang. */
export const readOverdueMs = ({ sentAtMs, expectedMs }: RunningCall): number =>
  sentAtMs + expectedMs * OVERDUE_FACTOR + OVERDUE_MARGIN_MS;
