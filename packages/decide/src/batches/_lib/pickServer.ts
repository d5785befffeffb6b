import type { BatchSpec } from '@bergamotcove/config';
import { predictCallEnd, readFarCostMs } from './predictCallEnd.js';
import type { ServerState } from './createServerBook.js';
import type { WaitingPiece } from './queuedJob.js';

/** What a choice depends on besides the servers. */
export interface PickOptions {
  readonly spec: BatchSpec;
  /** Time of a call with the given pieces at a server of usual speed. */
  readonly workMsOf: (pieces: readonly WaitingPiece[]) => number;
  readonly nowMs: number;
}

const findLowest = (states: readonly ServerState[], costOf: (state: ServerState) => number): ServerState | undefined =>
  states.reduce<ServerState | undefined>(
    (best, state) => (best === undefined || costOf(state) < costOf(best) ? state : best),
    undefined,
  );

/**
 * Picks the server for the next batch: the one that would end it first, where far inputs and results count as time.
 * That may be a server that is still busy; its batch then waits for it.
 *
 * @param candidates - servers that are in use and have not been given a batch yet
 * @param waiting - pieces in the order in which they should be sent
 * @param options - pool, times and clock
 * @returns the server, or undefined when none is free
 */
export default function pickServer(
  candidates: readonly ServerState[],
  waiting: readonly WaitingPiece[],
  { spec, workMsOf, nowMs }: PickOptions,
): ServerState | undefined {
  const batch = waiting.slice(0, spec.maxPieces);
  const workMs = spec.callMs + workMsOf(batch);
  const endMs = (state: ServerState): number => predictCallEnd(state, workMs, nowMs);
  const costMs = (state: ServerState): number => endMs(state) + readFarCostMs(state, batch);
  const isAnyFree = candidates.some(({ calls }) => calls.size < spec.parallelCalls);
  return isAnyFree ? findLowest(candidates, costMs) : undefined;
}
