import type { Clock } from '@bergamotcove/clock';
import {
  createPoolBook,
  type LoadReport,
  type PoolView,
  type ServerDescription,
  type ServerEventInput,
} from '@bergamotcove/decide';
import type { HostListFollower } from '@bergamotcove/membership';
import type { ListedHost } from '@bergamotcove/protocol';

/** Options of {@link createServerDirectory}. */
export interface ServerDirectoryOptions {
  readonly clock: Clock;
  readonly hostList: Pick<HostListFollower, 'hosts' | 'changes'>;
}

/** Backend servers as this host sees them. */
export interface ServerDirectory {
  /** Servers of a pool. */
  listPool(pool: string): readonly ServerDescription[];
  /** Servers of a pool with what this host has learnt about them. */
  viewPool(pool: string): PoolView;
  /** All backend servers of the last host list. */
  listServers(): readonly ServerDescription[];
  /** Entry hosts of the last host list. */
  listEntryHosts(): readonly ListedHost[];
  /** Attempts of this host that wait for an answer of the server. */
  outstanding(serverId: string): number;
  /** Something happened on a server. */
  note(serverId: string, event: ServerEventInput): void;
  /** A load report arrived; `hosts` entry hosts share the server. */
  noteReport(serverId: string, report: LoadReport, hosts: number): void;
  /** Median time per token of a pool. */
  msPerToken(pool: string): number;
  /** Size of an attempt in tokens of work. */
  noteSize(pool: string, tokens: number): void;
  /** The server itself said that it is leaving. */
  noteLeaving(serverId: string): void;
  close(): void;
}

const toServer = (host: ListedHost, leaving: boolean): ServerDescription => ({
  serverId: host.id,
  address: host.address,
  port: host.port,
  pool: host.pool ?? '',
  failureDomain: host.failureDomain,
  region: host.region,
  state: leaving ? 'leaving' : host.state,
});

/**
 * Keeps the list of backend servers with what this host knows about each.
 *
 * @param options - clock and the host list
 * @returns the directory; close it to stop following the list
 */
export default function createServerDirectory(options: ServerDirectoryOptions): ServerDirectory {
  const book = createPoolBook();
  const leaving = new Set<string>();
  const { hostList } = options;
  const subscription = hostList.changes.subscribe((hosts) => book.retain(new Set(hosts.map((host) => host.id))));

  const listServers = (): readonly ServerDescription[] =>
    hostList
      .hosts()
      .filter((host) => host.role === 'server')
      .map((host) => toServer(host, leaving.has(host.id)));

  const listPool = (pool: string): readonly ServerDescription[] =>
    listServers().filter((server) => server.pool === pool);

  return {
    listPool,
    viewPool: (pool) => book.view(pool, listPool(pool), options.clock.monotonicMs()),
    listServers,
    listEntryHosts: () => hostList.hosts().filter((host) => host.role === 'entry'),
    outstanding: (serverId) => book.stats(serverId).outstanding,
    note: (serverId, event) => book.note(serverId, event, options.clock.monotonicMs()),
    noteReport: (serverId, report, sharing) =>
      book.noteReport(serverId, report, { hosts: sharing, nowMs: options.clock.monotonicMs() }),
    msPerToken: (pool) => book.msPerToken(pool, listPool(pool), options.clock.monotonicMs()),
    noteSize: (pool, tokens) => book.noteSize(pool, tokens),
    noteLeaving: (serverId) => {
      leaving.add(serverId);
    },
    close: () => subscription.unsubscribe(),
  };
}
