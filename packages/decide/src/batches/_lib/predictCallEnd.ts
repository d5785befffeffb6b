import { readSlowness, type ServerState } from './createServerBook.js';
import type { WaitingPiece } from './queuedJob.js';

const BYTES_PER_MB = 1_000_000;
/** Time that a result in another failure domain counts for, because the next server has to fetch it from there. */
const FAR_RESULT_MS_PER_MB = 60;

/**
 * Predicts when a server would end a call with the given pieces after those that it works on. Inputs and results that
 * cross failure domains count as time.
 *
 * @param state - the server
 * @param pieces - the call
 * @param workMs - time of the call at a server of usual speed
 * @param nowMs - monotonic time
 * @returns monotonic time
 */
export default function predictCallEnd(
  state: ServerState,
  pieces: readonly WaitingPiece[],
  workMs: number,
  nowMs: number,
): number {
  const far = pieces.filter(({ job }) => job.failureDomain !== state.server.failureDomain);
  const inputBytes = [...new Set(far.map(({ job }) => job))].reduce((sum, job) => sum + job.inputBytes, 0);
  const farBytes = far.reduce((sum, { job }) => sum + job.resultBytes, inputBytes);
  const startMs = Math.max(nowMs, ...state.calls.values());
  return startMs + workMs * readSlowness(state, nowMs) + (farBytes / BYTES_PER_MB) * FAR_RESULT_MS_PER_MB;
}
