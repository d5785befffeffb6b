import { readSlowness, type ServerState } from './serverState.js';
import type { WaitingPiece } from './queuedJob.js';

const BYTES_PER_MB = 1_000_000;
/** Cost of data in another failure domain, as time per megabyte, because the next server has to fetch it from there. */
const CROSS_DOMAIN_MS_PER_MB = 60;

/**
 * Predicts when a server would end a new call, which starts after its running calls.
 *
 * @param state - the server
 * @param workMs - duration of the call at a server of usual speed
 * @param nowMs - monotonic time
 * @returns monotonic time of the end
 */
export const predictCallEnd = (state: ServerState, workMs: number, nowMs: number): number =>
  Math.max(nowMs, ...state.calls.values()) + workMs * readSlowness(state, nowMs);

/** Returns the cost of data that crosses failure domains, as time in ms. */
export const toCrossDomainMs = (bytes: number): number => (bytes / BYTES_PER_MB) * CROSS_DOMAIN_MS_PER_MB;

/**
 * Returns the cost of the inputs and results of a call that cross failure domains. Each piece
 * fetches all inputs of its job.
 *
 * @param state - the server
 * @param pieces - pieces of the call
 * @returns cost as time in ms
 */
export const readCrossDomainCostMs = (state: ServerState, pieces: readonly WaitingPiece[]): number => {
  const remotePieces = pieces.filter(({ job }) => job.failureDomain !== state.server.failureDomain);
  return toCrossDomainMs(remotePieces.reduce((sum, { job }) => sum + job.inputBytes + job.resultBytes, 0));
};
