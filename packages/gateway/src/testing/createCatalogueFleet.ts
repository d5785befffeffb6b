import { createEraTracker, type EraTracker, type StoreClient } from '@bergamotcove/backends';
import type { RouteTable } from '@bergamotcove/config';
import { createManualClock, type ManualClock } from '@bergamotcove/clock';
import { rankByCapacity } from '@bergamotcove/decide';
import type { LinkClient, LinkMethod, LinkPeer } from '@bergamotcove/transport';
import type { BackendDirectory } from '../catalogue/BackendDirectory.js';
import createBackendDirectory from '../catalogue/createBackendDirectory.js';
import createEvacuations, { type Evacuations } from '../catalogue/createEvacuations.js';
import createStoreNews, { type StoreNews } from '../catalogue/createStoreNews.js';
import createRouteTableHolder, { type RouteTableHolder } from '../catalogue/createRouteTableHolder.js';
import followCatalogue, { type CatalogueFollower } from '../catalogue/followCatalogue.js';
import createHostRegistry, { type HostEntry, type HostRegistry } from '../hosts/createHostRegistry.js';
import type { CatalogueFormat } from '../ports.js';
import sampleFormat from './sampleFormat.js';
import createStoreModel, { type StoreModel } from './createStoreModel.js';

/** One host of a fleet, with the parts that tests inspect. */
export interface FleetHost {
  readonly hostId: string;
  readonly directory: BackendDirectory;
  readonly evacuations: Evacuations;
  readonly tables: RouteTableHolder;
  readonly registry: HostRegistry;
  readonly follower: CatalogueFollower;
  readonly news: StoreNews;
}

/** Hosts that start at the same time, with models of the store and of the links between them. */
export interface CatalogueFleet {
  readonly store: StoreModel;
  readonly hosts: readonly FleetHost[];
  /** Ids of the hosts whose links to other hosts fail. */
  readonly unlinked: Set<string>;
  advance(ms: number): Promise<void>;
  /** Writes the entry of a new server; returns its id. */
  addServer(): string;
  /** Writes the entry of a server, with changed fields. */
  putServer(serverId: string, changes?: object): void;
  putTable(version: number): void;
  /** Counts the hosts that know a server. */
  countHostsWith(serverId: string): number;
  close(): void;
}

/** Options of {@link createCatalogueFleet}. */
export interface CatalogueFleetOptions {
  readonly hosts: number;
  readonly failureDomains: number;
  /** `fixed` lists all hosts from the start; `leased` lists those whose keys are in the store. */
  readonly registry: 'fixed' | 'leased';
}

const STEP_MS = 50;
/** Turns of the event loop within which messages between hosts are delivered. */
const EVENT_LOOP_TURNS = 4;

const FORMAT: CatalogueFormat = {
  ...sampleFormat,
  readRouteTable: (text) => {
    const { version, pools = [] } = JSON.parse(text) as Pick<RouteTable, 'version'> & Partial<RouteTable>;
    const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
    return { version, routes: [], pools, limits, organisations: undefined };
  },
};

const LINK_PEER: LinkPeer = { remoteAddress: '10.0.0.1', onClose: () => () => undefined };
const LOGGER = { event: (): void => undefined };

/** Port of the first host; port 0 cannot be called. */
const FIRST_PORT = 1;

const listEntries = ({ hosts, failureDomains }: CatalogueFleetOptions): readonly HostEntry[] =>
  Array.from({ length: hosts }, (_, index) => ({
    hostId: `h${index}`,
    target: { address: '10.0.0.1', port: FIRST_PORT + index },
    failureDomain: `d${index % failureDomains}`,
    region: 'r1',
    capacity: 0.3,
    startId: '1',
  }));

interface FleetContext {
  readonly clock: ManualClock;
  readonly store: StoreModel;
  readonly entries: readonly HostEntry[];
  readonly regions: Readonly<Record<string, string>>;
  readonly network: Map<number, Readonly<Record<string, LinkMethod>>>;
  readonly unlinked: Set<string>;
}

const createLinks = ({ network, unlinked }: FleetContext, self: HostEntry): LinkClient => ({
  call: async (target, method, params) => {
    const serve = network.get(target.port)?.[method];
    if (serve === undefined || unlinked.has(self.hostId) || unlinked.has(`h${target.port - FIRST_PORT}`)) {
      throw new Error('the host is unreachable');
    }
    return JSON.parse(JSON.stringify(await serve(JSON.parse(JSON.stringify(params)), LINK_PEER))) as unknown;
  },
  notify: () => undefined,
  close: () => undefined,
});

const createFixedRegistry = ({ entries }: FleetContext, self: HostEntry): HostRegistry =>
  ({
    self,
    start: () => undefined,
    list: () => entries,
    rankOwners: (duty: string) => rankByCapacity(entries, duty),
    onChange: () => undefined,
    replace: () => undefined,
    leave: () => Promise.resolve(),
  }) as unknown as HostRegistry;

const createLeasedRegistry = (
  { clock }: FleetContext,
  self: HostEntry,
  { store, eras }: { readonly store: StoreClient; readonly eras: EraTracker },
): HostRegistry => createHostRegistry({ clock, logger: LOGGER, store, eras, prefix: FORMAT.hostPrefix, self });

const startHost = (context: FleetContext, self: HostEntry, kind: CatalogueFleetOptions['registry']): FleetHost => {
  const { clock, regions } = context;
  const eras = createEraTracker();
  const store = context.store.createClient(self.hostId, eras);
  const evacuations = createEvacuations({ logger: LOGGER, regions: () => regions });
  const directory = createBackendDirectory({ clock, logger: LOGGER, format: FORMAT, regions, evacuations });
  const tables = createRouteTableHolder({ clock, logger: LOGGER, format: FORMAT });
  const news = createStoreNews(clock);
  const follower = followCatalogue({
    clock,
    logger: LOGGER,
    blocks: {
      put: () => undefined,
      remove: () => undefined,
      putRelease: () => undefined,
      removeRelease: () => undefined,
      replace: () => undefined,
    },
    origins: { putAgreed: () => undefined },
    links: createLinks(context, self),
    store,
    eras,
    format: FORMAT,
    tables,
    directory,
    evacuations,
    random: () => 0.5,
    news,
  });
  context.network.set(self.target.port, follower.methods);
  const registry =
    kind === 'fixed' ? createFixedRegistry(context, self) : createLeasedRegistry(context, self, { store, eras });
  follower.start(registry);
  registry.start();
  return { hostId: self.hostId, directory, evacuations, tables, registry, follower, news };
};

/**
 * Creates a fleet in virtual time.
 *
 * @param options - size and kind of registry
 * @returns the fleet; close it to stop its timers
 */
export default function createCatalogueFleet(options: CatalogueFleetOptions): CatalogueFleet {
  const clock = createManualClock();
  const store = createStoreModel(clock);
  const unlinked = new Set<string>();
  const entries = listEntries(options);
  const regions = Object.fromEntries(entries.map(({ failureDomain, region }) => [failureDomain, region]));
  const context: FleetContext = { clock, store, entries, regions, network: new Map(), unlinked };
  const hosts = entries.map((self) => startHost(context, self, options.registry));
  const putServer = (serverId: string, changes: object = {}): void => {
    const place = { address: '10.0.0.9', port: Number(serverId.slice(1)), failureDomain: 'd0' };
    store.put(`servers/${serverId}`, { pool: 'p', ...place, state: 'live', startedAtMs: 1, ...changes });
  };
  let servers = 0;
  return {
    store,
    hosts,
    unlinked,
    advance: async (ms) => {
      for (let passedMs = 0; passedMs < ms; passedMs += STEP_MS) {
        clock.advance(STEP_MS);
        for (let turn = 0; turn < EVENT_LOOP_TURNS; turn += 1) {
          await new Promise(setImmediate);
        }
      }
    },
    addServer: () => {
      servers += 1;
      putServer(`s${servers}`);
      return `s${servers}`;
    },
    putServer,
    putTable: (version) => store.put(FORMAT.routeTableKey, { version }),
    countHostsWith: (serverId) => hosts.filter(({ directory }) => directory.find(serverId) !== undefined).length,
    close: () =>
      hosts.forEach(({ follower, directory, registry }) => {
        follower.close();
        directory.close();
        registry.leave().catch(() => undefined);
      }),
  };
}
