import type { ColdStartSpec } from '@bergamotcove/config';
import type { Clock } from '@bergamotcove/clock';
import {
  advancePace,
  computePaceRates,
  limitColdMs,
  NEWS_LIFETIME_MS,
  PERMISSION_MS,
  readColdUntilMs,
  readPaceRate,
  WARM,
  type ColdBound,
  type PaceEvent,
  type PaceSpec,
  type PaceState,
} from '@bergamotcove/decide';
import type { Logger } from '@bergamotcove/log';
import type { BackendDirectory, KnownServer } from '../catalogue/BackendDirectory.js';
import type { RouteTableHolder } from '../catalogue/createRouteTableHolder.js';
import type { StoreNews } from '../catalogue/createStoreNews.js';
import classifyPace, { type ObservedEnd } from './classifyPace.js';
import type { PaceNotice } from './messages.js';

/** A server that is held to a pace. */
export interface PacedServer {
  readonly serverId: string;
  readonly pool: string;
  readonly requestsPerSecond: number;
  /** Monotonic time at which the limit began. */
  readonly sinceMs: number;
}

/** Rates of servers that started or recovered, in pools with a cold start. */
export interface PaceTable {
  /** Requests a second that a server may get from all hosts; undefined without a limit. */
  rateOf(serverId: string): number | undefined;
  /** Monotonic time before which a server gets nothing from this host; -Infinity when it may get a permitted request. */
  closedUntilMs(serverId: string): number;
  /** Whether a request may be sent, with the monotonic time before its permission; undefined without one. */
  maySend(serverId: string, permittedAtMs: number | undefined): boolean;
  /** Records how a request to a server ended. */
  noteEnd(serverId: string, end: ObservedEnd): void;
  /** What this host knows, and has seen since the last description, of servers that are held to a pace. */
  describe(serverIds: readonly string[]): readonly PaceNotice[];
  /** Applies what another host knows and has seen. */
  learn(notices: readonly PaceNotice[], hostId: string): void;
  list(): readonly PacedServer[];
  /** Calls a listener when a limit begins or ends. */
  onChange(run: (serverId: string) => void): void;
  /** Calls a listener when a server is found to start again before its entry says so. */
  onRestart(run: (serverId: string) => void): void;
  /** Calls a listener when the host that hands out the sends to a server has to know what this one has seen. */
  onSeen(run: (serverId: string) => void): void;
}

/** Options of {@link createPaceTable}. */
export interface PaceTableOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly directory: Pick<BackendDirectory, 'find' | 'onListed' | 'onProcessEnded' | 'position'>;
  readonly tables: Pick<RouteTableHolder, 'current'>;
  readonly news: Pick<StoreNews, 'ageMs'>;
  /** Bound on the requests to a cold server; undefined when the settings state none. */
  readonly bound: ColdBound | undefined;
  /** Monotonic times at which evacuations of failure domains ended. */
  readonly evacuationEnds: ReadonlyMap<string, number>;
}

interface Known {
  readonly state: PaceState;
  readonly sinceMs: number;
  /** Era of the store in which the server last stated its cold time. */
  readonly era: number;
  readonly evacuationEndMs: number;
  readonly isCapped: boolean;
}

/** Why the state of a server changes. */
interface Cause {
  readonly reason: string;
  /** Whether listeners are told; the directory tells them of what it has learnt. */
  readonly isNotified?: boolean;
  /** Pool of a server that is no longer listed. */
  readonly pool?: string;
}

const NEW: Known = { state: WARM, sinceMs: 0, era: 0, evacuationEndMs: -Infinity, isCapped: false };
/** Used for what is learnt of a server before the route table is known. */
const NO_SPEC: PaceSpec = { durationMs: 0, rates: { cold: 0, first: 1, last: 8 } };
/** Time until a host without news of the store looks at a cold server again. */
const RECHECK_MS = 250;
/** Least time between two reports about a server. */
const REPORT_INTERVAL_MS = 200;
const MAX_DRIFT_MS = 1_000;
/** Time within which hosts lose a server that ends. */
const LOST_TOGETHER_MS = 2_000;
/** Servers that are no longer listed are forgotten beyond this number. */
const MAX_KNOWN = 2_000;

class Table implements PaceTable {
  private readonly known = new Map<string, Known>();

  private readonly specs = new WeakMap<ColdStartSpec, PaceSpec>();

  /** What this host has seen and not told yet. */
  private readonly seen = new Map<string, { readonly quick: number; readonly isReset: boolean }>();

  /** The last host that reported that it lost a server without a limit. */
  private readonly lostBy = new Map<string, { readonly hostId: string; readonly atMs: number }>();

  private readonly reportedAtMs = new Map<string, number>();

  private readonly listeners: ((serverId: string) => void)[] = [];

  private readonly restartListeners: ((serverId: string) => void)[] = [];

  private readonly seenListeners: ((serverId: string) => void)[] = [];

  constructor(private readonly options: PaceTableOptions) {
    options.directory.onListed((server) => this.noteListed(server));
    options.directory.onProcessEnded(({ serverId, pool, end }) => {
      if (end !== 'left') {
        // The next process starts cold, and its entry may come late.
        this.advance(serverId, { type: 'suspected' }, { reason: 'process ended', pool });
      }
    });
  }

  rateOf(serverId: string): number | undefined {
    const spec = this.findSpec(serverId);
    const known = spec === undefined ? undefined : this.sync(serverId, spec);
    return spec === undefined || known === undefined
      ? undefined
      : readPaceRate(known.state, spec.rates, this.options.clock.monotonicMs());
  }

  closedUntilMs(serverId: string): number {
    const rate = this.rateOf(serverId);
    const nowMs = this.options.clock.monotonicMs();
    const untilMs = readColdUntilMs(this.known.get(serverId)?.state ?? WARM);
    if (rate === undefined || untilMs <= nowMs) {
      return -Infinity;
    }
    if (rate === 0) {
      return untilMs;
    }
    return this.options.news.ageMs() >= NEWS_LIFETIME_MS ? Math.min(untilMs, nowMs + RECHECK_MS) : -Infinity;
  }

  maySend(serverId: string, permittedAtMs: number | undefined): boolean {
    return (
      this.rateOf(serverId) === undefined ||
      (permittedAtMs !== undefined &&
        this.options.clock.monotonicMs() - permittedAtMs <= PERMISSION_MS &&
        this.closedUntilMs(serverId) === -Infinity)
    );
  }

  noteEnd(serverId: string, end: ObservedEnd): void {
    const spec = this.findSpec(serverId);
    const event = spec === undefined ? undefined : classifyPace(end, spec.durationMs);
    const wasPaced = spec !== undefined && this.rateOf(serverId) !== undefined;
    if (event === undefined || (!wasPaced && (event.type === 'quick' || event.type === 'strained'))) {
      return;
    }
    const remainingMs = this.readColdMs(serverId);
    this.advance(serverId, event, { reason: end.type, isNotified: true });
    if (event.type === 'assumed' && remainingMs < event.coldMs / 2) {
      this.restartListeners.forEach((run) => run(serverId));
    }
    const before = this.seen.get(serverId);
    this.seen.set(
      serverId,
      event.type === 'quick'
        ? { quick: (before?.quick ?? 0) + 1, isReset: before?.isReset ?? false }
        : { quick: 0, isReset: true },
    );
    const nowMs = this.options.clock.monotonicMs();
    if (nowMs - (this.reportedAtMs.get(serverId) ?? -Infinity) >= REPORT_INTERVAL_MS) {
      this.reportedAtMs.set(serverId, nowMs);
      this.seenListeners.forEach((run) => run(serverId));
    }
  }

  describe(serverIds: readonly string[]): readonly PaceNotice[] {
    return serverIds.flatMap((serverId) => {
      const { quick, isReset } = this.seen.get(serverId) ?? { quick: 0, isReset: false };
      const startedAtMs = this.options.directory.find(serverId)?.startedAtMs;
      if (startedAtMs === undefined || (this.rateOf(serverId) === undefined && quick === 0)) {
        return [];
      }
      this.seen.delete(serverId);
      return [{ serverId, startedAtMs, coldMs: this.readColdMs(serverId), quick, isReset }];
    });
  }

  learn(notices: readonly PaceNotice[], hostId: string): void {
    const cause = { reason: 'another host', isNotified: true };
    notices.forEach(({ serverId, startedAtMs, coldMs, quick, isReset }) => {
      const nowMs = this.options.clock.monotonicMs();
      if (this.options.directory.find(serverId)?.startedAtMs !== startedAtMs) {
        return;
      }
      if (coldMs > 0) {
        const remainingMs = this.readColdMs(serverId);
        // Times that were told and told again grow by the time of their messages.
        if (remainingMs === 0 || coldMs > remainingMs + MAX_DRIFT_MS) {
          this.advance(serverId, { type: 'assumed', coldMs }, cause);
          this.restartListeners.forEach((run) => run(serverId));
        }
      } else if (isReset && (this.rateOf(serverId) !== undefined || this.isSeenByTwo(serverId, hostId))) {
        this.advance(serverId, { type: 'suspected' }, cause);
      }
      if (quick > 0 && this.rateOf(serverId) !== undefined) {
        this.advance(serverId, { type: 'quick', count: quick, sentAtMs: nowMs }, cause);
      }
    });
  }

  list(): readonly PacedServer[] {
    return [...this.known].flatMap(([serverId, { sinceMs }]) => {
      const requestsPerSecond = this.rateOf(serverId);
      const pool = this.options.directory.find(serverId)?.pool;
      return requestsPerSecond === undefined || pool === undefined
        ? []
        : [{ serverId, pool, requestsPerSecond, sinceMs }];
    });
  }

  onChange(run: (serverId: string) => void): void {
    this.listeners.push(run);
  }

  onRestart(run: (serverId: string) => void): void {
    this.restartListeners.push(run);
  }

  onSeen(run: (serverId: string) => void): void {
    this.seenListeners.push(run);
  }

  /** Remaining cold time. */
  private readColdMs(serverId: string): number {
    const untilMs = readColdUntilMs(this.known.get(serverId)?.state ?? WARM);
    return Math.max(0, untilMs - this.options.clock.monotonicMs());
  }

  private findSpec(serverId: string, pool = this.options.directory.find(serverId)?.pool): PaceSpec | undefined {
    const { tables, bound } = this.options;
    const coldStart = pool === undefined ? undefined : tables.current()?.pools.get(pool)?.coldStart;
    if (coldStart === undefined) {
      return undefined;
    }
    const { durationMs, requestsPerSecond } = coldStart;
    const spec = this.specs.get(coldStart) ?? { durationMs, rates: computePaceRates(requestsPerSecond, bound) };
    this.specs.set(coldStart, spec);
    return spec;
  }

  private noteListed({ serverId, pool, coldMs = 0 }: KnownServer): void {
    const { directory, clock, logger } = this.options;
    const before = this.known.get(serverId);
    const { era } = directory.position;
    // The copy of a restored store says nothing of the present.
    if (coldMs <= 0 && (before === undefined || before.era !== era)) {
      return;
    }
    const nowMs = clock.monotonicMs();
    const maxMs = limitColdMs(this.findSpec(serverId)?.durationMs ?? 0);
    const sinceMs = before?.state.statedSinceMs ?? nowMs;
    const isCapped = coldMs > 0 && nowMs + coldMs > sinceMs + maxMs;
    if (isCapped && before?.isCapped !== true) {
      logger.event('serverColdCapped', { serverId, pool, statedMs: coldMs, maxMs });
    }
    this.known.set(serverId, { ...(before ?? NEW), era, isCapped });
    this.advance(serverId, { type: 'stated', coldMs }, { reason: 'entry', pool });
  }

  /** Counts a server as cold for the time of its pool from the end of the evacuation of its failure domain. */
  private sync(serverId: string, spec: PaceSpec): Known | undefined {
    const { directory, evacuationEnds, clock } = this.options;
    const endMs = evacuationEnds.get(directory.find(serverId)?.failureDomain ?? '') ?? -Infinity;
    const known = this.known.get(serverId);
    if (endMs === -Infinity || endMs === known?.evacuationEndMs) {
      return known;
    }
    this.known.set(serverId, { ...(known ?? NEW), evacuationEndMs: endMs });
    const coldMs = endMs + spec.durationMs - clock.monotonicMs();
    if (coldMs > 0) {
      this.advance(serverId, { type: 'assumed', coldMs }, { reason: 'evacuation ended' });
    }
    return this.known.get(serverId);
  }

  /** Whether two hosts have lost a server at about the same time. One host may have lost many by its own fault. */
  private isSeenByTwo(serverId: string, hostId: string): boolean {
    const nowMs = this.options.clock.monotonicMs();
    const before = this.lostBy.get(serverId);
    this.lostBy.set(serverId, { hostId, atMs: nowMs });
    return before !== undefined && before.hostId !== hostId && nowMs - before.atMs <= LOST_TOGETHER_MS;
  }

  private advance(serverId: string, event: PaceEvent, { reason, isNotified = false, pool }: Cause): void {
    const { clock, directory, logger } = this.options;
    const found = this.findSpec(serverId, pool);
    const before = this.known.get(serverId) ?? NEW;
    if (found === undefined && event.type !== 'stated') {
      return;
    }
    const spec = found ?? NO_SPEC;
    const nowMs = clock.monotonicMs();
    const state = advancePace(before.state, event, { spec, nowMs });
    const rateBefore = before.state.growth === Infinity ? undefined : readPaceRate(before.state, spec.rates, nowMs);
    const rate = readPaceRate(state, spec.rates, nowMs);
    const hasBegun = rate !== undefined && rateBefore === undefined;
    this.known.set(serverId, { ...before, state, sinceMs: hasBegun ? nowMs : before.sinceMs });
    this.forget();
    if (found === undefined || (rate === undefined) === (rateBefore === undefined)) {
      return;
    }
    const facts = { serverId, pool: pool ?? directory.find(serverId)?.pool, reason };
    if (hasBegun) {
      const coldMs = Math.max(0, Math.round(readColdUntilMs(state) - nowMs));
      logger.event('serverPaced', { ...facts, requestsPerSecond: rate, coldMs });
    } else {
      logger.event('serverUnpaced', { ...facts, lastedMs: Math.round(nowMs - before.sinceMs) });
    }
    if (isNotified) {
      this.listeners.forEach((run) => run(serverId));
    }
  }

  private forget(): void {
    if (this.known.size > MAX_KNOWN) {
      [...this.known.keys()]
        .filter((serverId) => this.options.directory.find(serverId) === undefined)
        .forEach((serverId) =>
          [this.known, this.seen, this.lostBy, this.reportedAtMs].forEach((map) => map.delete(serverId)),
        );
    }
  }
}

/**
 * Creates the table of servers that started or recovered. Each host keeps it from the entries of the servers, the ends
 * of evacuations and the answers that it gets.
 *
 * @param options - server directory, route tables, news of the store and the bound of the settings
 * @returns the table, empty at first
 */
export default function createPaceTable(options: PaceTableOptions): PaceTable {
  return new Table(options);
}
