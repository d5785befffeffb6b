import { SPEED_SAMPLE_LIFETIME_MS } from './constants.js';
import median from './_lib/median.js';
import updateServerStats, { NEW_SERVER_STATS } from './updateServerStats.js';
import type { PoolView, ServerDescription, ServerEventInput, ServerStats, ServerView } from './types.js';

/** Owner of the statistics of all backend servers on one entry host. */
export interface PoolBook {
  note(serverId: string, event: ServerEventInput, nowMs: number): void;
  stats(serverId: string): ServerStats;
  /** Records the size of an attempt, so that reports in attempts translate to work. */
  noteSize(pool: string, tokens: number): void;
  view(pool: string, servers: readonly ServerDescription[], nowMs: number): PoolView;
  /** Median time per token of the pool; computed again at most every 50 ms. */
  msPerToken(pool: string, servers: readonly ServerDescription[], nowMs: number): number;
  /** Forgets servers that are no longer listed. */
  retain(serverIds: ReadonlySet<string>): void;
}

const SIZE_WEIGHT = 0.02;
const DEFAULT_MS_PER_TOKEN = 10;
const SPEED_REFRESH_MS = 50;

const isFresh = (stats: ServerStats, nowMs: number): boolean =>
  stats.msPerToken !== undefined && nowMs - stats.sampledAtMs < SPEED_SAMPLE_LIFETIME_MS;

/** Writes the fields one by one: object spread made this the most expensive step of a choice. */
const toView = (server: ServerDescription, known: ServerStats, poolMsPerToken: number, nowMs: number): ServerView => ({
  serverId: server.serverId,
  address: server.address,
  port: server.port,
  pool: server.pool,
  failureDomain: server.failureDomain,
  region: server.region,
  state: server.state,
  outstanding: known.outstanding,
  outstandingTokens: known.outstandingTokens,
  longOutstanding: known.longOutstanding,
  othersOutstanding: known.othersOutstanding,
  limit: known.limit,
  sampledAtMs: known.sampledAtMs,
  lastSentAtMs: known.lastSentAtMs,
  failures: known.failures,
  unreachableUntilMs: known.unreachableUntilMs,
  slowness: isFresh(known, nowMs) ? (known.msPerToken ?? poolMsPerToken) / poolMsPerToken : 1,
});

/**
 * Creates the owner of server statistics.
 *
 * @returns the book
 * @example
 * const book = createPoolBook();
 * book.note('e1', { type: 'sent', tokens: 64, long: false }, nowMs);
 */
export default function createPoolBook(): PoolBook {
  const statsById = new Map<string, ServerStats>();
  const sizeByPool = new Map<string, number>();
  const speedByPool = new Map<string, { readonly msPerToken: number; readonly atMs: number }>();
  const stats = (serverId: string): ServerStats => statsById.get(serverId) ?? NEW_SERVER_STATS;

  const msPerToken = (pool: string, servers: readonly ServerDescription[], nowMs: number): number => {
    const cached = speedByPool.get(pool);
    if (cached !== undefined && nowMs - cached.atMs < SPEED_REFRESH_MS) {
      return cached.msPerToken;
    }
    const known = servers.map((server) => stats(server.serverId)).filter((one) => isFresh(one, nowMs));
    const value = median(known.map((one) => one.msPerToken ?? DEFAULT_MS_PER_TOKEN)) ?? DEFAULT_MS_PER_TOKEN;
    speedByPool.set(pool, { msPerToken: value, atMs: nowMs });
    return value;
  };

  return {
    stats,
    note: (serverId, event, nowMs) => {
      statsById.set(serverId, updateServerStats(stats(serverId), event, nowMs));
    },
    noteSize: (pool, tokens) => {
      const before = sizeByPool.get(pool) ?? tokens;
      sizeByPool.set(pool, before + (tokens - before) * SIZE_WEIGHT);
    },
    msPerToken,
    view: (pool, servers, nowMs) => {
      const poolMsPerToken = msPerToken(pool, servers, nowMs);
      return {
        servers: servers.map((server) => toView(server, stats(server.serverId), poolMsPerToken, nowMs)),
        msPerToken: poolMsPerToken,
        meanTokens: sizeByPool.get(pool) ?? 1,
      };
    },
    retain: (serverIds) => {
      [...statsById.keys()].filter((serverId) => !serverIds.has(serverId)).forEach((id) => statsById.delete(id));
    },
  };
}
