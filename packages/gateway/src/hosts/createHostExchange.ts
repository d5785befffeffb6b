import type { EraTracker } from '@bergamotcove/backends';
import type { Clock, Timer } from '@bergamotcove/clock';
import type { Logger } from '@bergamotcove/log';
import type { LinkClient, LinkMethod, Target } from '@bergamotcove/transport';
import comparePositions from '../catalogue/comparePositions.js';
import type { BackendDirectory, ServerSnapshot } from '../catalogue/BackendDirectory.js';
import type { RouteTableHolder, StoredTable } from '../catalogue/createRouteTableHolder.js';
import { packMessage, unpackMessage, type PackedMessage } from '../packMessage.js';
import type { BlockExchange } from '../crashes/createBlockSharing.js';
import type { BlockNotice } from '../crashes/messages.js';
import type { HostEntry, HostRecord, HostRegistry } from './createHostRegistry.js';

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
  readonly blocks: BlockExchange;
  readonly eras: EraTracker;
  readonly random: () => number;
}

/** What a host knows, as it tells the one that it asks. */
interface Inquiry {
  readonly tableRevision: number;
  /** Version of the route table; undefined from hosts of earlier versions. */
  readonly tableVersion?: number;
  readonly serversRevision: number;
  /** Era of the revision of the servers; undefined from hosts of earlier versions. */
  readonly serversEra?: number;
  /** Listed hosts, itself left out. */
  readonly otherHosts: number;
  /** Digest of the requests that it blocks; undefined from hosts of earlier versions. */
  readonly blocks?: string;
  /** Where it can be asked in turn. */
  readonly target: Target;
}

/** What a host has that the asking one has not. */
interface Newer {
  readonly table?: StoredTable;
  readonly servers?: ServerSnapshot;
  readonly hosts?: readonly HostRecord[];
  readonly blocks?: readonly BlockNotice[];
}

/** Interval at which one other host is asked. */
const INTERVAL_MS = 1_000;
const SYNC = 'hosts.sync';
/** Hosts that start together begin with different peers. */
const FIRST_TURNS = 1_000;

/** Positive when the first host has the newer table. Hosts of earlier versions tell only the revision of theirs. */
const compareTables = (
  own: Pick<Inquiry, 'tableRevision' | 'tableVersion'>,
  other: Pick<Inquiry, 'tableRevision' | 'tableVersion'>,
): number =>
  own.tableVersion === undefined || other.tableVersion === undefined
    ? own.tableRevision - other.tableRevision
    : own.tableVersion - other.tableVersion;

const listOthers = (hosts: HostRegistry): readonly HostEntry[] =>
  hosts.list().filter(({ hostId }) => hostId !== hosts.self.hostId);

class Exchange implements HostExchange {
  readonly methods: Readonly<Record<string, LinkMethod>>;

  private hosts: HostRegistry | undefined;

  private timer: Timer | undefined;

  private turn: number;

  constructor(private readonly options: HostExchangeOptions) {
    this.turn = Math.floor(options.random() * FIRST_TURNS);
    this.methods = { [SYNC]: (params) => this.answer(params as Inquiry) };
  }

  start(hosts: HostRegistry): void {
    const { clock, random } = this.options;
    this.hosts = hosts;
    this.timer = clock.schedule(INTERVAL_MS * (0.75 + random() / 2), () => {
      this.askNext(hosts);
      this.start(hosts);
    });
  }

  close(): void {
    this.timer?.close();
  }

  private describe(hosts: HostRegistry): Inquiry {
    const { tables, directory, blocks } = this.options;
    return {
      tableRevision: tables.stored()?.revision ?? 0,
      tableVersion: tables.current()?.table.version ?? 0,
      serversRevision: directory.position.revision,
      serversEra: directory.position.era,
      otherHosts: listOthers(hosts).length,
      blocks: blocks.digest(),
      target: hosts.self.target,
    };
  }

  private answer(inquiry: Inquiry): PackedMessage {
    return packMessage(this.findNewer(inquiry));
  }

  private findNewer(inquiry: Inquiry): Newer {
    const { hosts } = this;
    if (hosts === undefined) {
      return {};
    }
    const table = this.options.tables.stored();
    const { directory, blocks } = this.options;
    const own = this.describe(hosts);
    const isTableNewer = compareTables(own, inquiry);
    const areServersNewer = comparePositions(directory.position, {
      era: inquiry.serversEra ?? directory.position.era,
      revision: inquiry.serversRevision,
    });
    if (isTableNewer < 0 || areServersNewer < 0) {
      this.ask(inquiry.target, hosts);
    }
    return {
      ...(table !== undefined && isTableNewer > 0 ? { table } : {}),
      ...(areServersNewer > 0 ? { servers: directory.snapshot() } : {}),
      ...(inquiry.otherHosts === 0 ? { hosts: hosts.snapshot() } : {}),
      ...(inquiry.blocks !== own.blocks ? { blocks: blocks.list() } : {}),
    };
  }

  private askNext(hosts: HostRegistry): void {
    const others = listOthers(hosts);
    this.turn += 1;
    const other = others[this.turn % Math.max(1, others.length)];
    if (other !== undefined) {
      this.ask(other.target, hosts);
    }
  }

  private ask(target: Target, hosts: HostRegistry): void {
    this.options.links.call(target, SYNC, this.describe(hosts)).then(
      (newer) => this.apply(unpackMessage(newer as PackedMessage) as Newer, target, hosts),
      // A host that does not answer is asked again in a later turn.
      () => undefined,
    );
  }

  private apply(
    { table, servers, hosts: listed, blocks: notices = [] }: Newer,
    target: Target,
    hosts: HostRegistry,
  ): void {
    const { tables, directory, blocks, eras, logger } = this.options;
    const peer = `${target.address}:${target.port}`;
    if (table !== undefined) {
      tables.offer(table, peer);
    }
    if (servers !== undefined) {
      logger.event('serversLearnt', { peer, era: servers.era, revision: servers.revision });
      eras.hear(servers.era ?? directory.position.era);
      directory.replace(servers);
    }
    if (listed !== undefined && listOthers(hosts).length === 0) {
      hosts.replace(listed);
    }
    blocks.learn(notices);
  }
}

/**
 * Creates the exchange of route tables, server lists and blocked requests between hosts. Once a second a host asks one other host, in
 * turn, for what is newer. A host that is asked by one that knows more asks back: when it has just started and the
 * store does not answer, it knows no host that it could ask itself.
 *
 * @param options - what is exchanged, and links
 * @returns the exchange; close it to stop
 */
export default function createHostExchange(options: HostExchangeOptions): HostExchange {
  return new Exchange(options);
}
