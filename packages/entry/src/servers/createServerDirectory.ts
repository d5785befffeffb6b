import type { Clock, Timer } from '@bergamotcove/clock';
import type { ServerView } from '@bergamotcove/decide';
import type { Logger } from '@bergamotcove/log';
import type { HostList, ListedHost } from '@bergamotcove/platform';

/** Options of {@link createServerDirectory}. */
export interface ServerDirectoryOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly pollMs: number;
  readonly fetchList: () => Promise<HostList>;
}

/** Backend servers as this host sees them. */
export interface ServerDirectory {
  /** Servers of a pool. */
  listPool(pool: string): readonly ServerView[];
  /** Entry hosts of the last host list. */
  listEntryHosts(): readonly ListedHost[];
  noteSent(serverId: string): void;
  noteDone(serverId: string): void;
  /** The server itself said that it is leaving. */
  noteLeaving(serverId: string): void;
  /** Resolves after the first list arrived. */
  start(): Promise<void>;
  close(): void;
}

const toView = (host: ListedHost, outstanding: number, leaving: boolean): ServerView => ({
  serverId: host.id,
  address: host.address,
  port: host.port,
  pool: host.pool ?? '',
  failureDomain: host.failureDomain,
  region: host.region,
  state: leaving ? 'leaving' : host.state,
  outstanding,
});

/**
 * Keeps the list of backend servers with what this host knows about each.
 *
 * @param options - clock, poll interval and source of the list
 * @returns the directory; close it to stop polling
 */
export default function createServerDirectory(options: ServerDirectoryOptions): ServerDirectory {
  const outstanding = new Map<string, number>();
  const leaving = new Set<string>();
  let hosts: readonly ListedHost[] = [];
  let timer: Timer | undefined;
  let closed = false;

  const poll = async (): Promise<void> => {
    try {
      hosts = (await options.fetchList()).hosts;
    } catch (cause) {
      options.logger.event('hostListUnavailable', { error: String(cause) });
    }
    if (!closed) {
      timer = options.clock.schedule(options.pollMs, () => {
        poll().catch(() => undefined);
      });
    }
  };

  const add = (serverId: string, change: number): void => {
    outstanding.set(serverId, Math.max(0, (outstanding.get(serverId) ?? 0) + change));
  };

  return {
    listPool: (pool) =>
      hosts
        .filter((host) => host.role === 'server' && host.pool === pool)
        .map((host) => toView(host, outstanding.get(host.id) ?? 0, leaving.has(host.id))),
    listEntryHosts: () => hosts.filter((host) => host.role === 'entry'),
    noteSent: (serverId) => add(serverId, 1),
    noteDone: (serverId) => add(serverId, -1),
    noteLeaving: (serverId) => {
      leaving.add(serverId);
    },
    start: poll,
    close: () => {
      closed = true;
      timer?.close();
    },
  };
}
