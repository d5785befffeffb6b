import type { BatchSpec } from '@bergamotcove/config';
import { predictCallEnd, readCrossDomainCostMs } from './predictCallEnd.js';
import type { ServerState } from './serverState.js';
import type { WaitingPiece } from './queuedJob.js';

/** Inputs of a choice in addition to servers and pieces. */
export interface PickOptions {
  readonly spec: BatchSpec;
  /** Returns the work time in ms of the given pieces at a server of usual speed, without the fixed time of a call. */
  readonly workMsOf: (pieces: readonly WaitingPiece[]) => number;
  readonly nowMs: number;
}

const findLowest = (states: readonly ServerState[], costOf: (state: ServerState) => number): ServerState | undefined =>
  states.reduce<ServerState | undefined>(
    (best, state) => (best === undefined || costOf(state) < costOf(best) ? state : best),
    undefined,
  );

/**
 * Picks the server for the next batch: the one that would end it first, with inputs and results in other failure
 * domains counted as time. It may be a busy server, for which the batch then waits.
 *
 * @param candidates - usable servers without an assigned batch
 * @param waiting - pieces in the order in which they should be sent
 * @param options - batch settings of the pool, work times and monotonic time
 * @returns the server, or undefined if none is free
 */
export default function pickServer(
  candidates: readonly ServerState[],
  waiting: readonly WaitingPiece[],
  { spec, workMsOf, nowMs }: PickOptions,
): ServerState | undefined {
  const batch = waiting.slice(0, spec.maxPieces);
  const workMs = spec.callMs + workMsOf(batch);
  const endMs = (state: ServerState): number => predictCallEnd(state, workMs, nowMs);
  // A batch does not wait for a nearer server longer than the fixed time of a call.
  const crossingMs = (state: ServerState): number => Math.min(spec.callMs, readCrossDomainCostMs(state, batch));
  const costMs = (state: ServerState): number => endMs(state) + crossingMs(state);
  const isAnyFree = candidates.some(({ calls }) => calls.size < spec.parallelCalls);
  return isAnyFree ? findLowest(candidates, costMs) : undefined;
}
