import type { BatchSpec } from '@bergamotcove/config';
import type { PieceOutcome } from '../types.js';
import type { RunningCall } from './runningCall.js';

/** Time for which the room of a server that had none for a result counts as occupied. */
const NO_ROOM_BACKOFF_MS = 250;

/**
 * Records the room that the results of a call occupy at its server.
 *
 * @param call - answered call
 * @param outcomes - one for each piece, in order
 * @param options - batch settings of the pool and monotonic time
 */
export const recordResults = (
  { pieces, state }: RunningCall,
  outcomes: readonly PieceOutcome[],
  { spec, nowMs }: { readonly spec: BatchSpec; readonly nowMs: number },
): void => {
  pieces.forEach(({ job }, index) => {
    if (outcomes[index] === 'done') {
      state.held.push({ bytes: job.resultBytes, expiresAtMs: nowMs + spec.keepResultMs, evictable: false });
    } else if (outcomes[index] === 'no-room') {
      // Results unknown to this queue occupy the room; they are released soon or when they expire.
      state.held.push({ bytes: spec.resultMemoryBytes, expiresAtMs: nowMs + NO_ROOM_BACKOFF_MS, evictable: false });
    }
  });
};

/**
 * Records the room that the results of a call may occupy although its connection broke: its server goes on with the call
 * unless it crashed, and keeps results that nobody can release, because their handles are not known.
 *
 * @param call - broken call
 * @param options - batch settings of the pool and monotonic time
 */
export const recordBrokenCall = (
  { pieces, state, server, sentAtMs, expectedMs }: RunningCall,
  { spec, nowMs }: { readonly spec: BatchSpec; readonly nowMs: number },
): void => {
  const expiresAtMs = Math.max(nowMs, sentAtMs + expectedMs) + spec.keepResultMs;
  if (state.server.startedAtMs === server.startedAtMs) {
    pieces.forEach(({ job }) => state.held.push({ bytes: job.resultBytes, expiresAtMs, evictable: false }));
  }
};
