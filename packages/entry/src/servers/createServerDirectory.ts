import type { Clock } from '@bergamotcove/clock';
import {
  createPoolTracker,
  type LoadReport,
  type PoolView,
  type ServerDescription,
  type ServerEventInput,
} from '@bergamotcove/decide';
import type { HostListFollower } from '@bergamotcove/membership';
import type { ListedHost } from '@bergamotcove/protocol';
import createLeavingServers, { type LeavingServers } from './createLeavingServers.js';
import createServerIndex from './createServerIndex.js';

/** Options of {@link createServerDirectory}. */
export interface ServerDirectoryOptions {
  readonly clock: Clock;
  readonly hostList: Pick<HostListFollower, 'hosts' | 'changes'>;
}

/** Backend servers of the host list, with the statistics of this host. */
export interface ServerDirectory {
  /** Servers of a pool. */
  listPool(pool: string): readonly ServerDescription[];
  /** Servers of a pool with the statistics of this host. */
  viewPool(pool: string): PoolView;
  /** All backend servers of the last host list. */
  listServers(): readonly ServerDescription[];
  /** Entry hosts of the last host list. */
  listEntryHosts(): readonly ListedHost[];
  /** Number of attempts of this host that wait for an answer of the server. */
  outstanding(serverId: string): number;
  /** Updates the statistics of a server by an event. */
  note(serverId: string, event: ServerEventInput): void;
  /** Time on the monotonic clock when this host last sent an attempt to the pool of the server. */
  lastSentMs(serverId: string): number | undefined;
  /** Applies a load report of a server that `hosts` entry hosts share; returns false if the report is too old to count. */
  noteReport(serverId: string, report: LoadReport, hosts: number): boolean;
  /** Median time per token of a pool. */
  msPerToken(pool: string): number;
  /** Records the size of an attempt in tokens of work. */
  noteSize(pool: string, tokens: number): void;
  /** Marks a server that has announced itself that it is leaving. */
  noteLeaving(serverId: string): void;
  close(): void;
}

/**
 * Creates the directory of backend servers, which follows the host list and keeps statistics of each server.
 *
 * @param options - clock and the host list
 * @returns the directory; close it to unsubscribe from the list
 */
export default function createServerDirectory(options: ServerDirectoryOptions): ServerDirectory {
  const { clock, hostList } = options;
  const tracker = createPoolTracker();
  const lastSentMsByPool = new Map<string, number>();
  let index = createServerIndex(hostList.hosts(), new Set());
  const rebuildIndex = (leaving: LeavingServers): void => {
    index = createServerIndex(hostList.hosts(), leaving.ids());
  };
  const leavingServers: LeavingServers = createLeavingServers(clock, () => rebuildIndex(leavingServers));
  const subscription = hostList.changes.subscribe((hosts) => {
    leavingServers.applyHostList(hosts);
    rebuildIndex(leavingServers);
    tracker.retain(new Set(hosts.map((host) => host.id)));
  });
  const note = (serverId: string, event: ServerEventInput): void => {
    const nowMs = clock.monotonicMs();
    const pool = event.type === 'sent' ? index.findPool(serverId) : undefined;
    if (pool !== undefined) {
      lastSentMsByPool.set(pool, nowMs);
    }
    tracker.note(serverId, event, nowMs);
  };

  return {
    listPool: (pool) => index.listPool(pool),
    viewPool: (pool) => tracker.view(pool, index.listPool(pool), clock.monotonicMs()),
    listServers: () => index.servers,
    listEntryHosts: () => index.entryHosts,
    lastSentMs: (serverId) => lastSentMsByPool.get(index.findPool(serverId) ?? ''),
    outstanding: (serverId) => tracker.stats(serverId).outstanding,
    note,
    noteReport: (serverId, report, entryHostCount) =>
      tracker.noteReport(serverId, report, { hosts: entryHostCount, nowMs: clock.monotonicMs() }),
    msPerToken: (pool) => tracker.msPerToken(pool, index.listPool(pool), clock.monotonicMs()),
    noteSize: (pool, tokens) => tracker.noteSize(pool, tokens),
    noteLeaving: (serverId) => {
      leavingServers.add(serverId);
      rebuildIndex(leavingServers);
    },
    close: () => {
      subscription.unsubscribe();
      leavingServers.close();
    },
  };
}
