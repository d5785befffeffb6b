import type { Clock, Timer } from '@bergamotcove/clock';
import {
  createPoolBook,
  type LoadReport,
  type PoolView,
  type ServerDescription,
  type ServerEventInput,
} from '@bergamotcove/decide';
import type { HostListFollower } from '@bergamotcove/membership';
import type { ListedHost } from '@bergamotcove/protocol';
import createServerIndex from './createServerIndex.js';

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
  /** When this host last sent an attempt to the pool of the server, on the monotonic clock. */
  lastSentMs(serverId: string): number | undefined;
  /** A load report arrived; `hosts` entry hosts share the server. Returns false for a report that is too old to count. */
  noteReport(serverId: string, report: LoadReport, hosts: number): boolean;
  /** Median time per token of a pool. */
  msPerToken(pool: string): number;
  /** Size of an attempt in tokens of work. */
  noteSize(pool: string, tokens: number): void;
  /** The server itself said that it is leaving. */
  noteLeaving(serverId: string): void;
  close(): void;
}

/**
 * Time for which a server's own word that it is leaving counts against a host list that shows it as live. The list lags,
 * but a server that was restarted under its old name must get work again; one that is still leaving says so again.
 */
export const LEAVING_MEMORY_MS = 60_000;

/**
 * Keeps the list of backend servers with what this host knows about each.
 *
 * @param options - clock and the host list
 * @returns the directory; close it to stop following the list
 */
export default function createServerDirectory(options: ServerDirectoryOptions): ServerDirectory {
  const { clock, hostList } = options;
  const book = createPoolBook();
  const leaving = new Map<string, Timer>();
  const poolSentMs = new Map<string, number>();
  const arrange = () => createServerIndex(hostList.hosts(), new Set(leaving.keys()));
  let index = arrange();

  const subscription = hostList.changes.subscribe((hosts) => {
    index = arrange();
    book.retain(new Set(hosts.map((host) => host.id)));
  });
  const forgetLeaving = (serverId: string): void => {
    leaving.delete(serverId);
    index = arrange();
  };
  const note = (serverId: string, event: ServerEventInput): void => {
    const nowMs = clock.monotonicMs();
    const pool = event.type === 'sent' ? index.findPool(serverId) : undefined;
    if (pool !== undefined) {
      poolSentMs.set(pool, nowMs);
    }
    book.note(serverId, event, nowMs);
  };

  return {
    listPool: (pool) => index.listPool(pool),
    viewPool: (pool) => book.view(pool, index.listPool(pool), clock.monotonicMs()),
    listServers: () => index.servers,
    listEntryHosts: () => index.entryHosts,
    lastSentMs: (serverId) => poolSentMs.get(index.findPool(serverId) ?? ''),
    outstanding: (serverId) => book.stats(serverId).outstanding,
    note,
    noteReport: (serverId, report, sharing) =>
      book.noteReport(serverId, report, { hosts: sharing, nowMs: clock.monotonicMs() }),
    msPerToken: (pool) => book.msPerToken(pool, index.listPool(pool), clock.monotonicMs()),
    noteSize: (pool, tokens) => book.noteSize(pool, tokens),
    noteLeaving: (serverId) => {
      if (!leaving.has(serverId)) {
        const timer = clock.schedule(LEAVING_MEMORY_MS, () => forgetLeaving(serverId));
        leaving.set(serverId, timer);
        index = arrange();
      }
    },
    close: () => {
      subscription.unsubscribe();
      leaving.forEach((timer) => timer.close());
    },
  };
}
