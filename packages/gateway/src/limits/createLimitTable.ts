import type { Clock } from '@bergamotcove/clock';
import { applyStatement, isExpired, type LimitStatement, type StatedLimit } from '@bergamotcove/decide';
import type { Logger } from '@bergamotcove/log';
import type { BackendDirectory, KnownServer } from '../catalogue/BackendDirectory.js';

/** The limit of a server, as this host knows it. */
export interface KnownLimit extends StatedLimit {
  readonly serverId: string;
  readonly pool: string;
  /** `answer`, or the id of the host that told this one first. */
  readonly learntFrom: string;
}

/** A change of what this host knows about the limit of a server. */
export interface LimitChange {
  readonly serverId: string;
  readonly before: KnownLimit | undefined;
  readonly after: KnownLimit | undefined;
}

/** A statement about the limit of a server, and where it comes from. */
export interface SourcedStatement extends LimitStatement {
  /** `answer`, or the id of the host that sent it. */
  readonly source: string;
}

/** Rate limits that servers have stated, as this host knows them. */
export interface LimitTable {
  find(serverId: string): KnownLimit | undefined;
  list(): readonly KnownLimit[];
  note(server: Pick<KnownServer, 'serverId' | 'pool'>, statement: SourcedStatement): void;
  /** Calls a listener after each change, also of the time of the latest statement. */
  onChange(run: (change: LimitChange) => void): void;
}

/** Options of {@link createLimitTable}. */
export interface LimitTableOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly directory: Pick<BackendDirectory, 'onProcessEnded'>;
}

class Table implements LimitTable {
  private readonly limits = new Map<string, KnownLimit>();

  private readonly listeners: ((change: LimitChange) => void)[] = [];

  constructor(private readonly options: LimitTableOptions) {
    options.directory.onProcessEnded(({ serverId, startedAtMs }) => {
      if ((this.limits.get(serverId)?.startedAtMs ?? Infinity) <= startedAtMs) {
        this.set(serverId, undefined, 'process ended');
      }
    });
  }

  find(serverId: string): KnownLimit | undefined {
    const known = this.limits.get(serverId);
    if (known !== undefined && isExpired(known, this.options.clock.monotonicMs())) {
      this.set(serverId, undefined, 'not stated again');
      return undefined;
    }
    return known;
  }

  list(): readonly KnownLimit[] {
    return [...this.limits.keys()].flatMap((serverId) => this.find(serverId) ?? []);
  }

  note({ serverId, pool }: Pick<KnownServer, 'serverId' | 'pool'>, { source, ...statement }: SourcedStatement): void {
    const known = this.find(serverId);
    const limit = applyStatement(known, statement, this.options.clock.monotonicMs());
    if (limit !== known) {
      const learntFrom = known?.startedAtMs === limit?.startedAtMs ? known?.learntFrom : undefined;
      const after = limit === undefined ? undefined : { ...limit, serverId, pool, learntFrom: learntFrom ?? source };
      this.set(serverId, after, source);
    }
  }

  onChange(run: (change: LimitChange) => void): void {
    this.listeners.push(run);
  }

  private set(serverId: string, after: KnownLimit | undefined, reason: string): void {
    const before = this.limits.get(serverId);
    if (after === undefined) {
      this.limits.delete(serverId);
    } else {
      this.limits.set(serverId, after);
    }
    this.log(before, after, reason);
    this.listeners.forEach((run) => run({ serverId, before, after }));
  }

  private log(before: KnownLimit | undefined, after: KnownLimit | undefined, reason: string): void {
    const { clock, logger } = this.options;
    if (after !== undefined && after.requestsPerSecond !== before?.requestsPerSecond) {
      const { serverId, pool, requestsPerSecond, learntFrom } = after;
      logger.event('serverLimited', { serverId, pool, requestsPerSecond, learntFrom });
    } else if (after === undefined && before !== undefined) {
      const { serverId, pool, sinceMs } = before;
      const lastedMs = Math.round(clock.monotonicMs() - sinceMs);
      logger.event('serverUnlimited', { serverId, pool, reason, lastedMs });
    }
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
