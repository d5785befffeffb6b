import { MAX_REPORT_AGE_MS, SPEED_SAMPLE_LIFETIME_MS } from './constants.js';
import median from './_lib/median.js';
import updateServerStats, { NEW_SERVER_STATS } from './updateServerStats.js';
import type { LoadReport, PoolView, ServerDescription, ServerEventInput, ServerStats, ServerView } from './types.js';

/** Owner of the statistics of all backend servers on one entry host. */
export interface PoolBook {
  note(serverId: string, event: ServerEventInput, nowMs: number): void;
  stats(serverId: string): ServerStats;
  /**
   * A load report arrived; it is corrected by what this host sent since it was made. A report that is older than the
   * known one or too old to be corrected is ignored. Returns whether it counts.
   */
  noteReport(
    serverId: string,
    report: LoadReport,
    options: { readonly hosts: number; readonly nowMs: number },
  ): boolean;
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

/** Samples of the own attempts within this time are one; a report's time is not known more exactly. */
const HISTORY_STEP_MS = 10;

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

interface OwnSample {
  readonly atMs: number;
  readonly outstanding: number;
}

class Book implements PoolBook {
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
      this.keepHistory(serverId, next.outstanding, nowMs);
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
    this.sizeByPool.set(pool, before + (tokens - before) * SIZE_WEIGHT);
  }

  view(pool: string, servers: readonly ServerDescription[], nowMs: number): PoolView {
    const known = servers.map((server) => this.stats(server.serverId));
    const norm: PoolNorm = {
      msPerToken: this.msPerToken(pool, servers, nowMs),
      meanTokens: this.sizeByPool.get(pool) ?? 1,
      meanOthers: known.reduce((sum, one) => sum + one.othersOutstanding, 0) / Math.max(1, known.length),
      nowMs,
    };
    return {
      servers: servers.map((server, index) => toView(server, known[index] as ServerStats, norm)),
      msPerToken: norm.msPerToken,
      meanTokens: norm.meanTokens,
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

  /** Keeps the outstanding attempts of this host over the lag of a report; every attempt passes here twice. */
  private keepHistory(serverId: string, outstanding: number, nowMs: number): void {
    const history = this.historyById.get(serverId) ?? [];
    this.historyById.set(serverId, history);
    const last = history.at(-1);
    if (last !== undefined && nowMs - last.atMs < HISTORY_STEP_MS) {
      history[history.length - 1] = { atMs: last.atMs, outstanding };
      return;
    }
    history.push({ atMs: nowMs, outstanding });
    // Old samples are dropped in bulk, so that the cost for each attempt does not grow with the history.
    if ((history[0]?.atMs ?? nowMs) < nowMs - 2 * MAX_REPORT_AGE_MS) {
      const firstKept = history.findLastIndex((one) => one.atMs < nowMs - MAX_REPORT_AGE_MS);
      history.splice(0, Math.max(0, firstKept));
    }
  }
}

/**
 * Creates the owner of server statistics.
 *
 * @returns the book
 * @example
 * const book = createPoolBook();
 * book.note('e1', { type: 'sent', tokens: 64, long: false }, nowMs);
 */
export default function createPoolBook(): PoolBook {
  return new Book();
}
