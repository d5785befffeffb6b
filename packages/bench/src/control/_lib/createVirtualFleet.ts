import { createManualClock, type Clock, type ManualClock } from '@bergamotcove/clock';
import { HEADS_PREFIX } from '@bergamotcove/config';
import {
  createConfigDistribution,
  createHostListFollower,
  createMembership,
  HOST_LIST_TOPIC,
  type ConfigDistribution,
  type HostListFollower,
  type Membership,
} from '@bergamotcove/membership';
import { acceptDocument, type AcceptResult, type StoreClient } from '@bergamotcove/backends';
import type { ListedHost, PeerAddress } from '@bergamotcove/protocol';
import { createDocument, readVirtualHead } from './createDocument.js';
import createRandom from './createRandom.js';
import createVirtualHostList, { type VirtualHostList } from './createVirtualHostList.js';
import createVirtualNetwork, { type VirtualLink, type VirtualNetwork } from './createVirtualNetwork.js';
import { createVirtualStore, type VirtualStore } from './createVirtualStore.js';

/** Options of {@link createVirtualFleet}. */
export interface FleetOptions {
  readonly hosts: number;
  readonly domains: number;
  readonly seed: number;
  /** Backend servers in the host list. */
  readonly servers?: number;
}

/** A change of one host's view. */
export interface FleetChange {
  readonly atMs: number;
  readonly observer: string;
  readonly name: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** One entry host's control plane. */
export interface VirtualHost {
  readonly address: PeerAddress;
  /** Clock of the process; its timers stand still while the process is paused and end with it. */
  readonly clock: Clock;
  readonly membership: Membership;
  readonly distribution: ConfigDistribution;
  readonly hostList: HostListFollower;
  /** Version in force by service. */
  readonly versions: Map<string, number>;
  /** Number of documents that replaced a higher version; must stay zero. */
  reverted: number;
  up: boolean;
}

/** Entry hosts' control planes, a network and a store in virtual time. */
export interface VirtualFleet {
  readonly clock: ManualClock;
  readonly random: () => number;
  readonly network: VirtualNetwork;
  readonly store: VirtualStore;
  readonly hosts: VirtualHost[];
  readonly changes: FleetChange[];
  readonly list: VirtualHostList;
  /** Changes the state of an entry of the host list, or drops it. */
  setListed(hostId: string, state: 'live' | 'leaving' | 'gone'): void;
  start(index: number): void;
  crash(index: number): void;
  pause(index: number, durationMs: number): void;
  /** Accepts the next version of a service; another operator may race. */
  accept(service: string, changeId: string): Promise<AcceptResult>;
  run(durationMs: number): Promise<void>;
  close(): void;
}

const LIST_READ_MS = 1_000;
const PEERS_PORT = 7_000;
const POOLS = 4;
const HOSTS_CHECK_MS = 250;
const REGIONS = 2;

const describeHost = (index: number, domains: number): PeerAddress => {
  const domain = index % domains;
  const hostId = `entry-${index}`;
  return {
    hostId,
    address: hostId,
    peersPort: PEERS_PORT,
    failureDomain: `domain-${domain}`,
    // As in today's deployments, the last third of the failure domains is in the second region.
    region: `region-${Math.floor((domain * REGIONS) / domains)}`,
  };
};

const listEntry = ({ hostId, address, failureDomain, region }: PeerAddress): ListedHost => ({
  id: hostId,
  role: 'entry',
  address,
  port: 8_000,
  peerPort: PEERS_PORT,
  failureDomain,
  region,
  state: 'live',
});

const toPeers = (hosts: readonly ListedHost[]) =>
  hosts
    .filter(({ role }) => role === 'entry')
    .map(({ id, address, peerPort = PEERS_PORT, failureDomain, region, state }) => ({
      host: { hostId: id, address, peersPort: peerPort, failureDomain, region },
      leaving: state === 'leaving',
    }));

const listServer = (index: number, domains: number): ListedHost => {
  const { failureDomain, region } = describeHost(index, domains);
  const id = `server-${index}`;
  return {
    id,
    role: 'server',
    address: id,
    port: 9_000,
    pool: `pool-${index % POOLS}`,
    failureDomain,
    region,
    state: 'live',
  };
};

class Fleet implements VirtualFleet {
  readonly clock = createManualClock();

  readonly random: () => number;

  readonly network: VirtualNetwork;

  readonly store: VirtualStore;

  readonly hosts: VirtualHost[] = [];

  readonly changes: FleetChange[] = [];

  readonly list = createVirtualHostList();

  private listed: readonly ListedHost[];

  private readonly operator: StoreClient;

  private readonly addresses: readonly PeerAddress[];

  private readonly links: VirtualLink[] = [];

  constructor(options: FleetOptions) {
    this.random = createRandom(options.seed);
    this.network = createVirtualNetwork(this.clock, this.random);
    this.store = createVirtualStore(this.clock, this.random);
    this.addresses = Array.from({ length: options.hosts }, (_, index) => describeHost(index, options.domains));
    const desk = { hostId: 'operator', address: '', peersPort: 0, failureDomain: 'operator', region: 'region-0' };
    this.operator = this.store.client(desk, this.clock, this.network.traffic('operator'));
    const servers = Array.from({ length: options.servers ?? 0 }, (_, index) => listServer(index, options.domains));
    this.listed = [...this.addresses.map(listEntry), ...servers];
    this.list.setHosts(this.listed);
    this.addresses.forEach((_, index) => this.start(index));
  }

  setListed(hostId: string, state: 'live' | 'leaving' | 'gone'): void {
    this.listed = this.listed.flatMap((entry) => {
      if (entry.id !== hostId) {
        return [entry];
      }
      return state === 'gone' ? [] : [{ ...entry, state }];
    });
    this.list.setHosts(this.listed);
  }

  start(index: number): void {
    const address = this.addresses[index] as PeerAddress;
    let receive: (bytes: Uint8Array) => void = () => undefined;
    const link = this.network.attach(address, (bytes) => receive(bytes));
    const logger = {
      event: (name: string, fields = {}) => {
        this.changes.push({ atMs: this.clock.monotonicMs(), observer: address.hostId, name, fields });
      },
    };
    const common = { clock: link.clock, logger, random: this.random, self: address, peerClient: link.peerClient };
    const membership = createMembership({ ...common, send: link.send });
    receive = membership.receive.bind(membership);
    const traffic = this.network.traffic(address.hostId);
    const versions = new Map<string, number>();
    const host: VirtualHost = {
      address,
      clock: link.clock,
      membership,
      versions,
      reverted: 0,
      up: true,
      hostList: createHostListFollower({
        ...common,
        readMs: LIST_READ_MS,
        readList: this.list.client(address, link.clock, traffic),
      }),
      distribution: createConfigDistribution({
        ...common,
        store: this.store.client(address, link.clock, traffic),
        headsPrefix: HEADS_PREFIX,
        readHead: readVirtualHead,
        onApply: ({ service, version }) => {
          host.reverted += version <= (versions.get(service) ?? 0) ? 1 : 0;
          versions.set(service, version);
        },
        onDigest: (digest) => membership.setDigest(digest),
      }),
    };
    Fleet.wire(host, link);
    this.hosts[index] = host;
    this.links[index] = link;
  }

  crash(index: number): void {
    const host = this.hosts[index] as VirtualHost;
    host.up = false;
    this.links[index]?.detach();
  }

  pause(index: number, durationMs: number): void {
    this.network.pause((this.addresses[index] as PeerAddress).hostId, durationMs);
  }

  accept(service: string, changeId: string): Promise<AcceptResult> {
    const options = { changeId, acceptedBy: 'operator', acceptedAtMs: this.clock.wallMs() };
    return acceptDocument(this.operator, createDocument(service), options);
  }

  async run(durationMs: number): Promise<void> {
    const endMs = this.clock.monotonicMs() + durationMs;
    for (;;) {
      const nextMs = Math.min(endMs, this.clock.nextDueMs() ?? endMs);
      this.clock.advance(Math.max(0, nextMs - this.clock.monotonicMs()));
      // Promises that the timers settled run before the next timer, as in a real process.
      await new Promise(setImmediate);
      if (nextMs >= endMs && (this.clock.nextDueMs() ?? Infinity) > endMs) {
        return;
      }
    }
  }

  close(): void {
    this.links.forEach((link) => link.detach());
  }

  private static wire(host: VirtualHost, link: VirtualLink): void {
    const { membership, distribution, hostList } = host;
    membership.register(link.server);
    distribution.register(link.server);
    hostList.register(link.server);
    hostList.changes.subscribe((hosts) => membership.setListed(toPeers(hosts)));
    hostList.announcements.subscribe((payload) => membership.broadcastSummary(HOST_LIST_TOPIC, payload));
    membership.news.subscribe((item) => {
      if (item.type === 'digest-heard') {
        distribution.noteDigest(item.from, item.digest);
      } else if (item.type === 'woke') {
        distribution.notePauseEnded();
      } else {
        hostList.receiveSummary(item.topic, item.payload);
      }
    });
    let liveKey = '';
    let seen: readonly PeerAddress[] | undefined;
    const repeat = (periodMs: number, run: () => void): void => {
      run();
      link.clock.schedule(periodMs, () => repeat(periodMs, run));
    };
    const passHosts = (): void => {
      const live = membership.liveHosts();
      if (live === seen) {
        return;
      }
      seen = live;
      const key = live.map(({ hostId }) => hostId).join(' ');
      if (key !== liveKey) {
        liveKey = key;
        distribution.setHosts(live);
        hostList.setHosts(live);
      }
    };
    // As in the daemon, the list is read before the rest starts.
    hostList
      .start()
      .then(() => {
        membership.start();
        repeat(HOSTS_CHECK_MS, passHosts);
        return distribution.start();
      })
      .catch(() => undefined);
  }
}

/**
 * Starts the control planes of a fleet in virtual time; the interpreters and reducers are those of the daemon.
 *
 * @param options - size and seed
 * @returns the fleet
 * @example
 * const fleet = createVirtualFleet({ hosts: 9, domains: 3, seed: 1 });
 * await fleet.run(10_000);
 */
export default function createVirtualFleet(options: FleetOptions): VirtualFleet {
  return new Fleet(options);
}
