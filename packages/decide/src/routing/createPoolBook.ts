import { SPEED_SAMPLE_LIFETIME_MS } from './constants.js';
import median from './_lib/median.js';
import updateServerStats, { NEW_SERVER_STATS } from './updateServerStats.js';
import type { LoadReport, PoolView, ServerDescription, ServerEventInput, ServerStats, ServerView } from './types.js';

/** Owner of the statistics of all backend servers on one entry host. */
export interface PoolBook {
  note(serverId: string, event: ServerEventInput, nowMs: number): void;
  stats(serverId: string): ServerStats;
  /** A load report arrived; it is corrected by what this host sent since it was made. */
  noteReport(serverId: string, report: LoadReport, options: { readonly hosts: number; readonly nowMs: number }): void;
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
/** Longest lag of a load report that can be corrected. */
const HISTORY_MS = 1_500;

const isFresh = (stats: ServerStats, nowMs: number): boolean =>
  stats.msPerToken !== undefined && nowMs - stats.sampledAtMs < SPEED_SAMPLE_LIFETIME_MS;

/** What is usual in a pool. */
interface PoolNorm {
  readonly msPerToken: number;
  readonly meanTokens: number;
  readonly meanOthers: number;
  readonly nowMs: number;
}

/**
 * A report loses its meaning as the attempts in it end. It counts with a weight that falls with its age in attempt
 * durations; the rest of the weight is the mean of the pool. Without this, hosts follow the same old report together
 * and overfill the server that it shows as free.
 */
const blendOthers = (known: ServerStats, norm: PoolNorm): number => {
  if (known.reportedAtMs === undefined) {
    return norm.meanOthers;
  }
  const turnoverMs = Math.max(1, norm.meanTokens * norm.msPerToken);
  const trust = Math.exp(-(norm.nowMs - known.reportedAtMs) / turnoverMs);
  return norm.meanOthers + (known.othersOutstanding - norm.meanOthers) * trust;
};

/** Writes the fields one by one: object spread made this the most expensive step of a choice. */
const toView = (server: ServerDescription, known: ServerStats, norm: PoolNorm): ServerView => ({
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
  othersOutstanding: blendOthers(known, norm),
  slots: known.slots,
  window: known.window,
  sampledAtMs: known.sampledAtMs,
  lastSentAtMs: known.lastSentAtMs,
  failures: known.failures,
  unreachableUntilMs: known.unreachableUntilMs,
  slowness: isFresh(known, norm.nowMs) ? (known.msPerToken ?? norm.msPerToken) / norm.msPerToken : 1,
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
  const historyById = new Map<string, readonly { readonly atMs: number; readonly outstanding: number }[]>();
  const sizeByPool = new Map<string, number>();
  const speedByPool = new Map<string, { readonly msPerToken: number; readonly atMs: number }>();
  const stats = (serverId: string): ServerStats => statsById.get(serverId) ?? NEW_SERVER_STATS;

  /** Keeps the outstanding attempts of this host over the lag of a report. */
  const keepHistory = (serverId: string, outstanding: number, nowMs: number): void => {
    const history = historyById.get(serverId) ?? [];
    const firstKept = history.findLastIndex((one) => one.atMs < nowMs - HISTORY_MS);
    historyById.set(serverId, [...history.slice(Math.max(0, firstKept)), { atMs: nowMs, outstanding }]);
  };

  const note = (serverId: string, event: ServerEventInput, nowMs: number): void => {
    const next = updateServerStats(stats(serverId), event, nowMs);
    statsById.set(serverId, next);
    if (event.type === 'sent' || event.type === 'done') {
      keepHistory(serverId, next.outstanding, nowMs);
    }
  };

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
    note,
    noteReport: (serverId, report, { hosts, nowMs }) => {
      const history = historyById.get(serverId) ?? [];
      const ownAtReport = history.findLast((one) => one.atMs <= report.reportedAtMs)?.outstanding ?? 0;
      note(serverId, { type: 'reported', report, ownAtReport, hosts }, nowMs);
    },
    noteSize: (pool, tokens) => {
      const before = sizeByPool.get(pool) ?? tokens;
      sizeByPool.set(pool, before + (tokens - before) * SIZE_WEIGHT);
    },
    msPerToken,
    view: (pool, servers, nowMs) => {
      const known = servers.map((server) => stats(server.serverId));
      const norm: PoolNorm = {
        msPerToken: msPerToken(pool, servers, nowMs),
        meanTokens: sizeByPool.get(pool) ?? 1,
        meanOthers: known.reduce((sum, one) => sum + one.othersOutstanding, 0) / Math.max(1, known.length),
        nowMs,
      };
      return {
        servers: servers.map((server, index) => toView(server, known[index] as ServerStats, norm)),
        msPerToken: norm.msPerToken,
        meanTokens: norm.meanTokens,
      };
    },
    retain: (serverIds) => {
      [...statsById.keys()]
        .filter((serverId) => !serverIds.has(serverId))
        .forEach((id) => {
          statsById.delete(id);
          historyById.delete(id);
        });
    },
  };
}
