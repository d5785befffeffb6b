import type { SendDecision, SendNeed } from '@bergamotcove/decide';
import type { Clock } from '@bergamotcove/clock';
import type { OperatorLimit } from '@bergamotcove/protocol';
import type { ScrapedMetrics } from '@bergamotcove/telemetry';
import type { KnownLimit } from './createLimitTable.js';
import type { PacedServer, PaceTable } from './createPaceTable.js';

/** Table of a host none of whose pools has a cold start. */
export const NO_PACES: PaceTable = {
  rateOf: () => undefined,
  closedUntilMs: () => -Infinity,
  maySend: () => true,
  noteEnd: () => undefined,
  describe: () => [],
  learn: () => undefined,
  list: () => [],
  onChange: () => undefined,
  onRestart: () => undefined,
  onSeen: () => undefined,
};

/**
 * Leaves out servers that get nothing from this host, whatever their rate: it has no news of the store, or they tolerate
 * too little while they are cold. Without another server it is decided when to ask again.
 */
export const keepOpen = (
  need: SendNeed,
  paces: PaceTable,
  { clock, metrics }: { readonly clock: Clock; readonly metrics: ScrapedMetrics },
): SendNeed | SendDecision => {
  const closedUntilMs = new Map(need.serverIds.map((serverId) => [serverId, paces.closedUntilMs(serverId)]));
  const nowMs = clock.monotonicMs();
  const serverIds = need.serverIds.filter((serverId) => (closedUntilMs.get(serverId) ?? 0) <= nowMs);
  if (serverIds.length === need.serverIds.length) {
    return need;
  }
  metrics.report('pace.sends_denied', need.serverIds.length - serverIds.length, { pool: need.queue });
  return serverIds.length === 0 ? { type: 'later', atMs: Math.min(...closedUntilMs.values()) } : { ...need, serverIds };
};

/** Lists the limits that servers have stated and the paces of others, without what only one host knows. */
export const listLimits = (
  stated: readonly KnownLimit[],
  paced: readonly PacedServer[],
  nowMs: number,
): readonly Omit<OperatorLimit, 'handsOut' | 'sends'>[] => {
  const isSlower = (server: PacedServer): boolean =>
    stated.every((limit) => limit.serverId !== server.serverId || server.requestsPerSecond < limit.requestsPerSecond);
  const slower = paced.filter(isSlower);
  return [
    ...stated
      .filter(({ serverId }) => slower.every((server) => server.serverId !== serverId))
      .map(({ serverId, pool, requestsPerSecond, sinceMs, statedAtMs, learntFrom }) => ({
        serverId,
        pool,
        requestsPerSecond,
        sinceMs: nowMs - sinceMs,
        statedAgoMs: nowMs - statedAtMs,
        learntFrom,
      })),
    ...slower.map(({ sinceMs, ...server }) => ({
      ...server,
      sinceMs: nowMs - sinceMs,
      statedAgoMs: 0,
      learntFrom: 'cold start',
    })),
  ];
};
