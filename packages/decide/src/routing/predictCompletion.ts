import { ROUND_TRIP_MS } from './constants.js';
import type { DispatchRequest, PoolView, ServerView } from './types.js';

const roundTripMs = (server: ServerView, request: DispatchRequest): number => {
  if (server.failureDomain === request.failureDomain) {
    return ROUND_TRIP_MS.failureDomain;
  }
  return server.region === request.region ? ROUND_TRIP_MS.region : ROUND_TRIP_MS.otherRegion;
};

/**
 * Predicts how long an attempt takes on a server: the round trip, plus the outstanding work divided by the parallel
 * slots and the work of the attempt less the expected prefix saving, at the measured speed of the server.
 *
 * @param server - the server
 * @param pool - its pool
 * @param request - the attempt
 * @returns predicted time in milliseconds
 * @example
 * predictCompletion(server, pool, request) <= request.remainingMs;
 */
export default function predictCompletion(server: ServerView, pool: PoolView, request: DispatchRequest): number {
  const savedTokens = request.savedTokens?.get(server.serverId) ?? 0;
  const ownTokens = Math.max(1, request.tokens + (request.prefillTokens ?? 0) - savedTokens);
  const aheadTokens = server.outstandingTokens + server.othersOutstanding * pool.meanTokens;
  const work = ownTokens + aheadTokens / Math.max(1, server.slots);
  return roundTripMs(server, request) + work * pool.msPerToken * server.slowness;
}
