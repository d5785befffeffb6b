import type { BatchSpec } from '@bergamotcove/config';
import { readSlowness, type ServerState } from './serverState.js';

/** Duration of a usual call, which is half full. */
export const usualCallMs = (spec: BatchSpec): number => spec.callMs + (spec.maxPieces * spec.pieceMs) / 2;

/** Part of the calls of an unlimited server that a server with a rate limit can get. */
const readLimitShare = ({ server }: ServerState, spec: BatchSpec): number =>
  Math.min(1, usualCallMs(spec) / (server.callIntervalMs ?? 0));

/** Returns the number of servers, those with rate limits counted in part. */
export const countServers = (states: readonly ServerState[], spec: BatchSpec): number =>
  states.reduce((sum, state) => sum + readLimitShare(state, spec), 0);

/**
 * Returns the sum of the speeds of the servers that may be called, each relative to a server of usual speed. A server
 * with a rate limit rests after each call, and counts all the time.
 */
export const readSpeed = (states: readonly ServerState[], spec: BatchSpec, nowMs: number): number =>
  states
    .filter(({ server, backoffUntilMs }) => server.callIntervalMs !== undefined || backoffUntilMs <= nowMs)
    .reduce((sum, state) => sum + readLimitShare(state, spec) / readSlowness(state, nowMs), 0);

/** Predicts when the first server is free. Servers end their calls at different times, the first one before the mean. */
export const predictFirstFreeMs = (states: readonly ServerState[], spec: BatchSpec, nowMs: number): number => {
  const count = Math.max(1, states.length);
  const meanFreeAtMs = states.reduce((sum, state) => sum + Math.max(nowMs, ...state.calls.values()), 0) / count;
  const spreadMs = (usualCallMs(spec) * (count - 1)) / (2 * count);
  return Math.max(nowMs, meanFreeAtMs - spreadMs);
};
