import { readSlowness, type ServerState } from './createServerBook.js';
import type { WaitingPiece } from './queuedJob.js';

const BYTES_PER_MB = 1_000_000;
/** Time that a result in another failure domain counts for, because the next server has to fetch it from there. */
const FAR_RESULT_MS_PER_MB = 60;

/**
 * Predicts when a server would end a call after those that it works on.
 *
 * @param state - the server
 * @param workMs - time of the call at a server of usual speed
 * @param nowMs - monotonic time
 * @returns monotonic time
 */
export const predictCallEnd = (state: ServerState, workMs: number, nowMs: number): number =>
  Math.max(nowMs, ...state.calls.values()) + workMs * readSlowness(state, nowMs);

/**
 * Time that inputs and results count for which cross failure domains.
 *
 * @param state - the server
 * @param pieces - pieces of the call
 * @returns time in ms
 */
export const readFarCostMs = (state: ServerState, pieces: readonly WaitingPiece[]): number => {
  const far = pieces.filter(({ job }) => job.failureDomain !== state.server.failureDomain);
  const inputBytes = [...new Set(far.map(({ job }) => job))].reduce((sum, job) => sum + job.inputBytes, 0);
  const farBytes = far.reduce((sum, { job }) => sum + job.resultBytes, inputBytes);
  return (farBytes / BYTES_PER_MB) * FAR_RESULT_MS_PER_MB;
};
