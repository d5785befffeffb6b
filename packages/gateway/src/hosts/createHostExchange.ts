import type { EraTracker } from '@bergamotcove/backends';
import type { Clock, Timer } from '@bergamotcove/clock';
import { toError } from '@bergamotcove/errors';
import type { Logger } from '@bergamotcove/log';
import type { LinkClient, LinkMethod, Target } from '@bergamotcove/transport';
import comparePositions, { type StorePosition } from '../catalogue/comparePositions.js';
import type { BackendDirectory, ServerSnapshot } from '../catalogue/BackendDirectory.js';
import type { Evacuations, EvacuationSnapshot } from '../catalogue/createEvacuations.js';
import type { RouteTableHolder, StoredTable } from '../catalogue/createRouteTableHolder.js';
import { packMessage, unpackMessage, type PackedMessage } from '../packMessage.js';
import type { StreamOrigins } from '../streams/createStreamOrigins.js';
import type { BlockExchange } from '../crashes/createBlockSharing.js';
import type { BlockNotice } from '../crashes/messages.js';
import type { HostEntry, HostRecord, HostRegistry } from './createHostRegistry.js';
import matchesShape, { type Shape } from './matchesShape.js';

/** Exchanges newer state between hosts, so that a host without access to the store stays up to date. */
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
  readonly evacuations: Pick<Evacuations, 'snapshot' | 'replace'>;
  readonly blocks: BlockExchange;
  readonly origins: Pick<StreamOrigins, 'agreedText' | 'putAgreed'>;
  readonly eras: EraTracker;
  readonly random: () => number;
}

/** Summary of the state of the requesting host. */
interface SyncRequest {
  readonly tableRevision: number;
  /** Version of the route table; undefined from hosts of earlier versions. */
  readonly tableVersion?: number;
  readonly serversRevision: number;
  /** Era of the revision of the servers; undefined from hosts of earlier versions. */
  readonly serversEra?: number;
  /** Position of the known evacuations; undefined from hosts of earlier versions, which cannot use newer ones. */
  readonly evacuations?: StorePosition;
  /** Number of listed hosts, without the requesting one. */
  readonly otherHosts: number;
  /** Digest of the blocked requests; undefined from hosts of earlier versions. */
  readonly blocks?: string;
  /** Address of the requesting host, for a request in the other direction. */
  readonly target: Target;
}

/** State of the answering host that is newer than that of the requesting one. */
interface SyncResponse {
  readonly table?: StoredTable;
  readonly servers?: ServerSnapshot;
  /** Agreed origins of streams, with newer servers; a host must not learn of servers without them. */
  readonly agreedOrigins?: string;
  readonly evacuations?: EvacuationSnapshot;
  readonly hosts?: readonly HostRecord[];
  readonly blocks?: readonly BlockNotice[];
}

const SYNC_RESPONSE: Shape = {
  'table?': { text: 'string', revision: 'number' },
  'servers?': {
    servers: [{ serverId: 'string', text: 'string', revision: 'number' }],
    revision: 'number',
    'era?': 'number',
  },
  'agreedOrigins?': 'string',
  'evacuations?': { era: 'number', revision: 'number', domains: ['string'] },
  'hosts?': [{ key: 'string', text: 'string' }],
  'blocks?': [{ fingerprint: 'string', remainingMs: 'number', 'release?': 'string' }],
};

/** Interval of the requests, each to one other host; random jitter of up to a quarter is added or subtracted. */
const INTERVAL_MS = 1_000;
const SYNC = 'hosts.sync';
/** Range of the random first turn, so that hosts that start together begin with different peers. */
const INITIAL_TURNS = 1_000;

/** Positive when the first host has the newer table. Hosts of earlier versions send only the revision of theirs. */
const compareTables = (
  own: Pick<SyncRequest, 'tableRevision' | 'tableVersion'>,
  other: Pick<SyncRequest, 'tableRevision' | 'tableVersion'>,
): number =>
  own.tableVersion === undefined || other.tableVersion === undefined
    ? own.tableRevision - other.tableRevision
    : own.tableVersion - other.tableVersion;

const readAgreed = ({ agreedText }: Pick<StreamOrigins, 'agreedText'>): Pick<SyncResponse, 'agreedOrigins'> =>
  agreedText === undefined ? {} : { agreedOrigins: agreedText };

const listOthers = (hosts: HostRegistry): readonly HostEntry[] =>
  hosts.list().filter(({ hostId }) => hostId !== hosts.self.hostId);

class Exchange implements HostExchange {
  readonly methods: Readonly<Record<string, LinkMethod>>;

  private hosts: HostRegistry | undefined;

  private timer: Timer | undefined;

  private turn: number;

  constructor(private readonly options: HostExchangeOptions) {
    this.turn = Math.floor(options.random() * INITIAL_TURNS);
    this.methods = { [SYNC]: (params) => this.answerRequest(params as SyncRequest) };
  }

  start(hosts: HostRegistry): void {
    const { clock, random } = this.options;
    this.hosts = hosts;
    this.timer = clock.schedule(INTERVAL_MS * (0.75 + random() / 2), () => {
      this.requestFromNext(hosts);
      this.start(hosts);
    });
  }

  close(): void {
    this.timer?.close();
  }

  private describeState(hosts: HostRegistry): SyncRequest {
    const { tables, directory, evacuations, blocks } = this.options;
    const { era, revision } = evacuations.snapshot();
    return {
      tableRevision: tables.stored()?.revision ?? 0,
      tableVersion: tables.current()?.table.version ?? 0,
      serversRevision: directory.position.revision,
      serversEra: directory.position.era,
      evacuations: { era, revision },
      otherHosts: listOthers(hosts).length,
      blocks: blocks.digest(),
      target: hosts.self.target,
    };
  }

  private answerRequest(request: SyncRequest): PackedMessage {
    return packMessage(this.findNewer(request));
  }

  private findNewer(request: SyncRequest): SyncResponse {
    const { hosts } = this;
    if (hosts === undefined) {
      return {};
    }
    const table = this.options.tables.stored();
    const { directory, evacuations, blocks, origins } = this.options;
    const own = this.describeState(hosts);
    const isTableNewer = compareTables(own, request);
    const areServersNewer = comparePositions(directory.position, {
      era: request.serversEra ?? directory.position.era,
      revision: request.serversRevision,
    });
    const known = evacuations.snapshot();
    const areEvacuationsNewer = request.evacuations === undefined ? 0 : comparePositions(known, request.evacuations);
    if (isTableNewer < 0 || areServersNewer < 0 || areEvacuationsNewer < 0) {
      this.requestNewer(request.target, hosts);
    }
    return {
      ...(table !== undefined && isTableNewer > 0 ? { table } : {}),
      ...(areServersNewer > 0 ? { servers: directory.snapshot(), ...readAgreed(origins) } : {}),
      ...(areEvacuationsNewer > 0 ? { evacuations: known } : {}),
      ...(request.otherHosts === 0 ? { hosts: hosts.snapshot() } : {}),
      ...(request.blocks !== own.blocks ? { blocks: blocks.list() } : {}),
    };
  }

  private requestFromNext(hosts: HostRegistry): void {
    const others = listOthers(hosts);
    this.turn += 1;
    const other = others[this.turn % Math.max(1, others.length)];
    if (other !== undefined) {
      this.requestNewer(other.target, hosts);
    }
  }

  private requestNewer(target: Target, hosts: HostRegistry): void {
    // A host that does not answer, or not with a state, gets another request in a later turn.
    this.options.links.call(target, SYNC, this.describeState(hosts)).then(
      (response) => this.applyAnswer(response, target, hosts),
      () => undefined,
    );
  }

  /** Applies the answer of a host; one that cannot be read changes nothing. */
  private applyAnswer(answer: unknown, target: Target, hosts: HostRegistry): void {
    try {
      const response = unpackMessage(answer as PackedMessage);
      if (!matchesShape(response, SYNC_RESPONSE)) {
        throw new Error('the answer to hosts.sync has missing or wrong fields');
      }
      this.apply(response as SyncResponse, target, hosts);
    } catch (cause) {
      const peer = `${target.address}:${target.port}`;
      this.options.logger.event('peerMessageInvalid', { peer, error: toError(cause).message });
    }
  }

  private apply(
    { table, servers, evacuations: evacuated, agreedOrigins, hosts: listed, blocks: notices = [] }: SyncResponse,
    target: Target,
    hosts: HostRegistry,
  ): void {
    const { tables, directory, evacuations, blocks, origins, eras, logger } = this.options;
    const peer = `${target.address}:${target.port}`;
    if (table !== undefined) {
      tables.offer(table, peer);
    }
    if (evacuated !== undefined) {
      evacuations.replace(evacuated);
    }
    if (servers !== undefined) {
      logger.event('serversLearnt', { peer, era: servers.era, revision: servers.revision });
      eras.observe(servers.era ?? directory.position.era);
      if (agreedOrigins !== undefined) {
        origins.putAgreed(agreedOrigins);
      }
      directory.replace(servers);
    }
    if (listed !== undefined && listOthers(hosts).length === 0) {
      hosts.replace(listed);
    }
    blocks.learn(notices);
  }
}

/**
 * Creates the exchange of route tables, server lists, evacuations and blocked requests between hosts. Once a second a host requests
 * newer state from one other host, in turn. A host that receives a request from one with newer state sends a request
 * back, because a host that starts while the store is unavailable knows no other host to which it could send one.
 *
 * @param options - state to exchange, and links to other hosts
 * @returns the exchange; close it to stop
 */
export default function createHostExchange(options: HostExchangeOptions): HostExchange {
  return new Exchange(options);
}
