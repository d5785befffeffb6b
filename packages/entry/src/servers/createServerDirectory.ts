import type { Clock, Timer } from '@bergamotcove/clock';
import {
  createPoolBook,
  type LoadReport,
  type PoolView,
  type ServerDescription,
  type ServerEventInput,
} from '@bergamotcove/decide';
import type { Logger } from '@bergamotcove/log';
import type { HostList } from '@bergamotcove/platform';
import type { ListedHost } from '@bergamotcove/protocol';
import createServerIndex from './createServerIndex.js';

/** Options of {@link createServerDirectory}. */
export interface ServerDirectoryOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly pollMs: number;
  /** Reads the list; undefined when it still has the given tag. */
  readonly fetchList: (etag: string | undefined) => Promise<HostList | undefined>;
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
  /** Resolves after the first list arrived. */
  start(): Promise<void>;
  close(): void;
}

/** Reads the host list again and again. */
const createListPoll = (options: ServerDirectoryOptions, onList: (hosts: readonly ListedHost[]) => void) => {
  const { clock, logger, pollMs, fetchList } = options;
  let etag: string | undefined;
  let timer: Timer | undefined;
  let closed = false;
  const poll = async (): Promise<void> => {
    try {
      const list = await fetchList(etag);
      if (list !== undefined) {
        etag = list.etag;
        onList(list.hosts);
      }
    } catch (cause) {
      logger.event('hostListUnavailable', { error: String(cause) });
    }
    if (!closed) {
      timer = clock.schedule(pollMs, () => {
        poll().catch(() => undefined);
      });
    }
  };
  const close = (): void => {
    closed = true;
    timer?.close();
  };
  return { start: poll, close };
};

/**
 * Keeps the list of backend servers with what this host knows about each.
 *
 * @param options - clock, poll interval and source of the list
 * @returns the directory; close it to stop polling
 */
export default function createServerDirectory(options: ServerDirectoryOptions): ServerDirectory {
  const book = createPoolBook();
  const leaving = new Set<string>();
  const poolSentMs = new Map<string, number>();
  let hosts: readonly ListedHost[] = [];
  let index = createServerIndex(hosts, leaving);

  const listPoll = createListPoll(options, (listed) => {
    hosts = listed;
    index = createServerIndex(hosts, leaving);
    book.retain(new Set(hosts.map((host) => host.id)));
  });
  const note = (serverId: string, event: ServerEventInput): void => {
    const nowMs = options.clock.monotonicMs();
    const pool = event.type === 'sent' ? index.findPool(serverId) : undefined;
    if (pool !== undefined) {
      poolSentMs.set(pool, nowMs);
    }
    book.note(serverId, event, nowMs);
  };

  return {
    listPool: (pool) => index.listPool(pool),
    viewPool: (pool) => book.view(pool, index.listPool(pool), options.clock.monotonicMs()),
    listServers: () => index.servers,
    listEntryHosts: () => index.entryHosts,
    lastSentMs: (serverId) => poolSentMs.get(index.findPool(serverId) ?? ''),
    outstanding: (serverId) => book.stats(serverId).outstanding,
    note,
    noteReport: (serverId, report, sharing) =>
      book.noteReport(serverId, report, { hosts: sharing, nowMs: options.clock.monotonicMs() }),
    msPerToken: (pool) => book.msPerToken(pool, index.listPool(pool), options.clock.monotonicMs()),
    noteSize: (pool, tokens) => book.noteSize(pool, tokens),
    noteLeaving: (serverId) => {
      if (!leaving.has(serverId)) {
        leaving.add(serverId);
        index = createServerIndex(hosts, leaving);
      }
    },
    start: listPoll.start,
    close: listPoll.close,
  };
}
