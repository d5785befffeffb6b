import type { Clock, Timer } from '@bergamotcove/clock';
import type { Logger } from '@bergamotcove/log';
import type { LinkClient, LinkMethod } from '@bergamotcove/transport';
import type { BackendDirectory, ServerSnapshot } from '../catalogue/createBackendDirectory.js';
import type { RouteTableHolder, StoredTable } from '../catalogue/createRouteTableHolder.js';
import type { HostRegistry } from './createHostRegistry.js';

/** Passes what is newer from host to host, so that a host without the store does not stay behind. */
export interface HostExchange {
  readonly methods: Readonly<Record<string, LinkMethod>>;
  start(hosts: HostRegistry): void;
  close(): void;
}

/** Options of {@link createHostExchange}. */
export interface HostExchangeOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly links: LinkClient;
  readonly tables: RouteTableHolder;
  readonly directory: BackendDirectory;
  readonly random: () => number;
}

/** What a host knows. */
interface Versions {
  readonly tableRevision: number;
  readonly serversRevision: number;
}

/** What a host has that the asking one has not. */
interface Newer {
  readonly table?: StoredTable;
  readonly servers?: ServerSnapshot;
}

/** Interval at which one other host is asked. */
const INTERVAL_MS = 1_000;
const SYNC = 'hosts.sync';

/**
 * Creates the exchange of route tables and server lists between hosts. Once a second a host asks one other host, in
 * turn, for what is newer.
 *
 * @param options - what is exchanged, and links
 * @returns the exchange; close it to stop
 */
export default function createHostExchange(options: HostExchangeOptions): HostExchange {
  const { clock, logger, links, tables, directory, random } = options;
  let timer: Timer | undefined;
  let turn = Math.floor(random() * 1_000);

  const versions = (): Versions => ({
    tableRevision: tables.stored()?.revision ?? 0,
    serversRevision: directory.snapshot().revision,
  });

  const answer = (asked: Versions): Newer => {
    const table = tables.stored();
    const servers = directory.snapshot();
    return {
      ...(table !== undefined && table.revision > asked.tableRevision ? { table } : {}),
      ...(servers.revision > asked.serversRevision ? { servers } : {}),
    };
  };

  const ask = async (hosts: HostRegistry): Promise<void> => {
    const others = hosts.list().filter(({ hostId }) => hostId !== hosts.self.hostId);
    turn += 1;
    const other = others[turn % Math.max(1, others.length)];
    if (other === undefined) {
      return;
    }
    const newer = (await links.call(other.target, SYNC, versions())) as Newer;
    if (newer.table !== undefined) {
      tables.offer(newer.table, other.hostId);
    }
    if (newer.servers !== undefined) {
      logger.event('serversLearnt', { peer: other.hostId, revision: newer.servers.revision });
      directory.replace(newer.servers);
    }
  };

  const schedule = (hosts: HostRegistry): void => {
    timer = clock.schedule(INTERVAL_MS * (0.75 + random() / 2), () => {
      // A host that does not answer is asked again in a later turn.
      ask(hosts).catch(() => undefined);
      schedule(hosts);
    });
  };

  return {
    methods: { [SYNC]: (params) => answer(params as Versions) },
    start: schedule,
    close: () => timer?.close(),
  };
}
