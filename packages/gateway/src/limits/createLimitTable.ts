import type { Clock } from '@bergamotcove/clock';
import {
  applyStatement,
  isExpired,
  STATEMENT_LIFETIME_MS,
  type LimitStatement,
  type StatedLimit,
} from '@bergamotcove/decide';
import type { Logger } from '@bergamotcove/log';
import type { BackendDirectory, KnownServer } from '../catalogue/BackendDirectory.js';
import type { LimitNotice } from './messages.js';

/** The limit of a server, as this host knows it. */
export interface KnownLimit extends StatedLimit {
  readonly serverId: string;
  readonly pool: string;
  /** `answer`, or the id of the host that told this one first. */
  readonly learntFrom: string;
}

/** A change of what this host knows about the limit of a server. */
export interface LimitChange {
  readonly before: KnownLimit | undefined;
  readonly after: KnownLimit | undefined;
  /** What caused the change: `answer`, the id of a host, or the reason for which a limit was dropped. */
  readonly source: string;
}

/** Rate limits that servers have stated, as this host knows them. */
export interface LimitTable {
  find(serverId: string): KnownLimit | undefined;
  list(): readonly KnownLimit[];
  /** Applies a statement. The source is `answer`, or the id of the host that sent it. */
  note(server: Pick<KnownServer, 'serverId' | 'pool'>, statement: LimitStatement, source: string): void;
  /** Applies notices of another host. */
  learn(notices: readonly LimitNotice[], hostId: string): void;
  /** Describes the limits of servers for other hosts, and the limits that have ended recently. */
  describe(serverIds: readonly string[]): readonly LimitNotice[];
  /** Servers whose limits have ended recently. */
  listEnded(): readonly string[];
  /** Calls a listener after each change, also of the time of the latest statement. */
  onChange(run: (change: LimitChange) => void): void;
}

/** Options of {@link createLimitTable}. */
export interface LimitTableOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly directory: Pick<BackendDirectory, 'onProcessEnded'>;
}

/** The end of a limit. It is kept so that older statements of other hosts do not bring the limit back. */
interface EndedLimit {
  readonly pool: string;
  readonly startedAtMs: number;
  readonly atMs: number;
}

/** Name of the source of statements that this host has read in an answer. */
export const OWN_ANSWER = 'answer';

class Table implements LimitTable {
  private readonly limits = new Map<string, KnownLimit>();

  private readonly ended = new Map<string, EndedLimit>();

  private readonly listeners: ((change: LimitChange) => void)[] = [];

  constructor(private readonly options: LimitTableOptions) {
    options.directory.onProcessEnded(({ serverId, startedAtMs }) => {
      if ((this.limits.get(serverId)?.startedAtMs ?? Infinity) <= startedAtMs) {
        this.drop(serverId, { source: 'process ended', atMs: options.clock.monotonicMs() });
      }
    });
  }

  find(serverId: string): KnownLimit | undefined {
    const known = this.limits.get(serverId);
    const nowMs = this.options.clock.monotonicMs();
    if (known !== undefined && isExpired(known, nowMs)) {
      this.drop(serverId, { source: 'not stated again', atMs: nowMs });
      return undefined;
    }
    return known;
  }

  list(): readonly KnownLimit[] {
    return [...this.limits.keys()].flatMap((serverId) => this.find(serverId) ?? []);
  }

  note({ serverId, pool }: Pick<KnownServer, 'serverId' | 'pool'>, statement: LimitStatement, source: string): void {
    const { startedAtMs, atMs } = statement;
    const ended = this.ended.get(serverId);
    if (ended !== undefined && ended.startedAtMs === startedAtMs && atMs <= ended.atMs) {
      return;
    }
    const known = this.find(serverId);
    const limit = applyStatement(known, statement, this.options.clock.monotonicMs());
    if (limit === known) {
      return;
    }
    if (limit === undefined) {
      this.drop(serverId, { source, atMs });
      return;
    }
    const learntFrom = known?.startedAtMs === startedAtMs ? known.learntFrom : source;
    this.ended.delete(serverId);
    this.set({ ...limit, serverId, pool, learntFrom }, source);
  }

  learn(notices: readonly LimitNotice[], hostId: string): void {
    const nowMs = this.options.clock.monotonicMs();
    notices.forEach(({ serverId, pool, startedAtMs, requestsPerSecond, agoMs }) =>
      this.note({ serverId, pool }, { requestsPerSecond, startedAtMs, atMs: nowMs - agoMs }, hostId),
    );
  }

  describe(serverIds: readonly string[]): readonly LimitNotice[] {
    const nowMs = this.options.clock.monotonicMs();
    return serverIds.flatMap((serverId): readonly LimitNotice[] => {
      const known = this.find(serverId);
      const ended = this.ended.get(serverId);
      if (known !== undefined) {
        const { pool, startedAtMs, requestsPerSecond, statedAtMs } = known;
        return [{ serverId, pool, startedAtMs, requestsPerSecond, agoMs: nowMs - statedAtMs }];
      }
      return ended === undefined
        ? []
        : [{ serverId, pool: ended.pool, startedAtMs: ended.startedAtMs, agoMs: nowMs - ended.atMs }];
    });
  }

  listEnded(): readonly string[] {
    return [...this.ended.keys()];
  }

  onChange(run: (change: LimitChange) => void): void {
    this.listeners.push(run);
  }

  private set(after: KnownLimit, source: string): void {
    const before = this.limits.get(after.serverId);
    this.limits.set(after.serverId, after);
    if (after.requestsPerSecond !== before?.requestsPerSecond) {
      const { serverId, pool, requestsPerSecond, learntFrom } = after;
      this.options.logger.event('serverLimited', { serverId, pool, requestsPerSecond, learntFrom });
    }
    this.notify({ before, after, source });
  }

  private drop(serverId: string, { source, atMs }: { readonly source: string; readonly atMs: number }): void {
    const before = this.limits.get(serverId);
    if (before === undefined) {
      return;
    }
    const { pool, startedAtMs, sinceMs } = before;
    const nowMs = this.options.clock.monotonicMs();
    this.limits.delete(serverId);
    this.ended.forEach((end, each) => {
      if (end.atMs + STATEMENT_LIFETIME_MS < nowMs) {
        this.ended.delete(each);
      }
    });
    this.ended.set(serverId, { pool, startedAtMs, atMs });
    this.options.logger.event('serverUnlimited', {
      serverId,
      pool,
      reason: source,
      lastedMs: Math.round(nowMs - sinceMs),
    });
    this.notify({ before, after: undefined, source });
  }

  private notify(change: LimitChange): void {
    this.listeners.forEach((run) => run(change));
  }
}

/**
 * Creates an empty table of limits. A limit belongs to one process of a server and ends with it, with an answer that no
 * longer states it, or when no answer has stated it for a time.
 *
 * @param options - clock, logger and server directory
 * @returns the table
 */
export default function createLimitTable(options: LimitTableOptions): LimitTable {
  return new Table(options);
}
