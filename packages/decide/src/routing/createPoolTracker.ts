import { MAX_REPORT_AGE_MS, SPEED_SAMPLE_LIFETIME_MS } from './constants.js';
import median from './_lib/median.js';
import updateServerStats, { NEW_SERVER_STATS } from './updateServerStats.js';
import type { LoadReport, PoolView, ServerDescription, ServerEventInput, ServerStats, ServerView } from './types.js';

/** Statistics of all backend servers as one entry host sees them. */
export interface PoolTracker {
  /** Updates the statistics of a server by an event. */
  note(serverId: string, event: ServerEventInput, nowMs: number): void;
  /** Statistics of a server; initial values if it is not known. */
  stats(serverId: string): ServerStats;
  /**
   * Applies a load report, less the attempts that this host had at the server when the report was made. A report that
   * is older than the last one or than the history of the own attempts is ignored. Returns whether it was applied.
   */
  noteReport(
    serverId: string,
    report: LoadReport,
    options: { readonly hosts: number; readonly nowMs: number },
  ): boolean;
  /** Records the size of an attempt in tokens of work, which converts reported numbers of attempts to work. */
  noteSize(pool: string, tokens: number): void;
  /** The servers with their statistics, and the averages of the pool. */
  view(pool: string, servers: readonly ServerDescription[], nowMs: number): PoolView;
  /** Median time per token of the pool; recomputed at most every 50 ms. */
  msPerToken(pool: string, servers: readonly ServerDescription[], nowMs: number): number;
  /** Removes the statistics of servers that are not in the set. */
  retain(serverIds: ReadonlySet<string>): void;
}

const SIZE_SAMPLE_WEIGHT = 0.02;
const DEFAULT_MS_PER_TOKEN = 10;
const SPEED_REFRESH_MS = 50;

const isFresh = (stats: ServerStats, nowMs: number): boolean =>
  stats.msPerToken !== undefined && nowMs - stats.sampledAtMs < SPEED_SAMPLE_LIFETIME_MS;

/** Resolution of the history of own attempts; the time of a report is not known more exactly. */
const HISTORY_RESOLUTION_MS = 10;

/** Averages over a pool. */
interface PoolMeans {
  readonly msPerToken: number;
  readonly meanTokens: number;
  readonly meanOthers: number;
  readonly nowMs: number;
}

/**
 * Estimates the attempts of the other hosts at a server. A report goes stale as the attempts in it end, so its weight
 * decays exponentially with its age in attempt durations, towards the mean of the pool. Without this, all hosts follow
 * the same old report and overload the server that it shows as free.
 */
const estimateOthers = (known: ServerStats, means: PoolMeans): number => {
  if (known.reportedAtMs === undefined) {
    return means.meanOthers;
  }
  const turnoverMs = Math.max(1, means.meanTokens * means.msPerToken);
  const weight = Math.exp(-(means.nowMs - known.reportedAtMs) / turnoverMs);
  return means.meanOthers + (known.othersOutstanding - means.meanOthers) * weight;
};

/** Copies the fields one by one, because object spread made this the most expensive step of a choice. */
const toView = (server: ServerDescription, known: ServerStats, means: PoolMeans): ServerView => ({
  serverId: server.serverId,
  address: server.address,
  port: server.port,
  pool: server.pool,
  failureDomain: server.failureDomain,
  region: server.region,
  state: server.state,
  ...(server.softwareVersion === undefined ? {} : { softwareVersion: server.softwareVersion }),
  outstanding: known.outstanding,
  outstandingTokens: known.outstandingTokens,
  longOutstanding: known.longOutstanding,
  othersOutstanding: estimateOthers(known, means),
  slots: known.slots,
  window: known.window,
  sampledAtMs: known.sampledAtMs,
  lastSentAtMs: known.lastSentAtMs,
  failures: known.failures,
  unreachableUntilMs: known.unreachableUntilMs,
  slowness: isFresh(known, means.nowMs) ? (known.msPerToken ?? means.msPerToken) / means.msPerToken : 1,
});

interface OwnSample {
  readonly atMs: number;
  readonly outstanding: number;
}

class Tracker implements PoolTracker {
  private readonly statsById = new Map<string, ServerStats>();

  private readonly historyById = new Map<string, OwnSample[]>();

  private readonly sizeByPool = new Map<string, number>();

  private readonly speedByPool = new Map<string, { readonly msPerToken: number; readonly atMs: number }>();

  stats(serverId: string): ServerStats {
    return this.statsById.get(serverId) ?? NEW_SERVER_STATS;
  }

  note(serverId: string, event: ServerEventInput, nowMs: number): void {
    const next = updateServerStats(this.stats(serverId), event, nowMs);
    this.statsById.set(serverId, next);
    if (event.type === 'sent' || event.type === 'done') {
      this.recordHistory(serverId, next.outstanding, nowMs);
    }
  }

  noteReport(
    serverId: string,
    report: LoadReport,
    options: { readonly hosts: number; readonly nowMs: number },
  ): boolean {
    const { hosts, nowMs } = options;
    const knownAtMs = this.stats(serverId).reportedAtMs ?? -Infinity;
    if (report.reportedAtMs < knownAtMs || nowMs - report.reportedAtMs > MAX_REPORT_AGE_MS) {
      return false;
    }
    const history = this.historyById.get(serverId) ?? [];
    const ownAtReport = history.findLast((one) => one.atMs <= report.reportedAtMs)?.outstanding ?? 0;
    this.note(serverId, { type: 'reported', report, ownAtReport, hosts }, nowMs);
    return true;
  }

  noteSize(pool: string, tokens: number): void {
    const before = this.sizeByPool.get(pool) ?? tokens;
    this.sizeByPool.set(pool, before + (tokens - before) * SIZE_SAMPLE_WEIGHT);
  }

  view(pool: string, servers: readonly ServerDescription[], nowMs: number): PoolView {
    const known = servers.map((server) => this.stats(server.serverId));
    const means: PoolMeans = {
      msPerToken: this.msPerToken(pool, servers, nowMs),
      meanTokens: this.sizeByPool.get(pool) ?? 1,
      meanOthers: known.reduce((sum, one) => sum + one.othersOutstanding, 0) / Math.max(1, known.length),
      nowMs,
    };
    return {
      servers: servers.map((server, index) => toView(server, known[index] as ServerStats, means)),
      msPerToken: means.msPerToken,
      meanTokens: means.meanTokens,
    };
  }

  msPerToken(pool: string, servers: readonly ServerDescription[], nowMs: number): number {
    const cached = this.speedByPool.get(pool);
    if (cached !== undefined && nowMs - cached.atMs < SPEED_REFRESH_MS) {
      return cached.msPerToken;
    }
    const known = servers.map((server) => this.stats(server.serverId)).filter((one) => isFresh(one, nowMs));
    const value = median(known.map((one) => one.msPerToken ?? DEFAULT_MS_PER_TOKEN)) ?? DEFAULT_MS_PER_TOKEN;
    this.speedByPool.set(pool, { msPerToken: value, atMs: nowMs });
    return value;
  }

  retain(serverIds: ReadonlySet<string>): void {
    [...this.statsById.keys()]
      .filter((serverId) => !serverIds.has(serverId))
      .forEach((serverId) => {
        this.statsById.delete(serverId);
        this.historyById.delete(serverId);
      });
  }

  /** Records the outstanding attempts of this host for as long as a report may be old; runs twice for each attempt. */
  private recordHistory(serverId: string, outstanding: number, nowMs: number): void {
    const history = this.historyById.get(serverId) ?? [];
    this.historyById.set(serverId, history);
    const last = history.at(-1);
    if (last !== undefined && nowMs - last.atMs < HISTORY_RESOLUTION_MS) {
      history[history.length - 1] = { atMs: last.atMs, outstanding };
      return;
    }
    history.push({ atMs: nowMs, outstanding });
    // Old samples are dropped in bulk, so that the cost of an attempt does not grow with the length of the history.
    if ((history[0]?.atMs ?? nowMs) < nowMs - 2 * MAX_REPORT_AGE_MS) {
      const firstKept = history.findLastIndex((one) => one.atMs < nowMs - MAX_REPORT_AGE_MS);
      history.splice(0, Math.max(0, firstKept));
    }
  }
}

/**
 * Creates the statistics of the backend servers of one entry host.
 *
 * @returns the statistics, without any server
 * @example
 * const pools = createPoolTracker();
 * pools.note('e1', { type: 'sent', tokens: 64, long: false }, nowMs);
 */
export default function createPoolTracker(): PoolTracker {
  return new Tracker();
}
