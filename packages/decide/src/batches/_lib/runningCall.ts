import type { BatchServer } from '../types.js';
import type { WaitingPiece } from './queuedJob.js';
import type { ServerState } from './serverState.js';

/** A call in progress. */
export interface RunningCall {
  readonly state: ServerState;
  readonly pieces: readonly WaitingPiece[];
  /** The server as it was when the call was sent; it may have started again since. */
  readonly server: BatchServer;
  readonly sentAtMs: number;
  readonly expectedMs: number;
  /** Whether its pieces were requeued because it takes too long. */
  overdue: boolean;
}

/** A call is overdue after this multiple of its expected duration plus the margin. */
const OVERDUE_FACTOR = 2;
const OVERDUE_MARGIN_MS = 100;

/** Returns the monotonic time at which the pieces of a call are requeued, because its server may hang. */
export const readOverdueMs = ({ sentAtMs, expectedMs }: RunningCall): number =>
  sentAtMs + expectedMs * OVERDUE_FACTOR + OVERDUE_MARGIN_MS;
