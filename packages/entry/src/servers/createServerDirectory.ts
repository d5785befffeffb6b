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
import createLeavingNotes, { type LeavingNotes } from './createLeavingNotes.js';
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
 * Keeps the list of backend servers with what this host knows about each.
 *
 * @param options - clock and the host list
 * @returns the directory; close it to stop following the list
 */
export default function createServerDirectory(options: ServerDirectoryOptions): ServerDirectory {
  const { clock, hostList } = options;
  const book = createPoolTracker();
  const poolSentMs = new Map<string, number>();
  let index = createServerIndex(hostList.hosts(), new Set());
  const arrange = (leaving: LeavingNotes): void => {
    index = createServerIndex(hostList.hosts(), leaving.ids());
  };
  const leavingNotes: LeavingNotes = createLeavingNotes(clock, () => arrange(leavingNotes));
  const subscription = hostList.changes.subscribe((hosts) => {
    leavingNotes.follow(hosts);
    arrange(leavingNotes);
    book.retain(new Set(hosts.map((host) => host.id)));
  });
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
      leavingNotes.note(serverId);
      arrange(leavingNotes);
    },
    close: () => {
      subscription.unsubscribe();
      leavingNotes.close();
    },
  };
}
