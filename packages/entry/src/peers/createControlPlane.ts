import type { Subscription } from 'rxjs';
import type { Clock, Timer } from '@bergamotcove/clock';
import { HEADS_PREFIX, type Settings } from '@bergamotcove/config';
import type { ListedPeer } from '@bergamotcove/decide';
import type { Logger } from '@bergamotcove/log';
import {
  createConfigDistribution,
  createMembership,
  HOST_LIST_TOPIC,
  type ConfigDistribution,
  type HostListFollower,
  type Membership,
} from '@bergamotcove/membership';
import type { StoreClient } from '@bergamotcove/backends';
import type { ConfigFindingStatus, ListedHost } from '@bergamotcove/protocol';
import {
  createDatagramSocket,
  type DatagramSocket,
  type PeerAuth,
  type PeerClient,
  type PeerServer,
} from '@bergamotcove/transport';
import type { DocumentSink } from '../config/createConfigHolder.js';
import parseHead from '../config/parseHead.js';
import type { EntryHostView, PeerDirectory } from './types.js';

/** Options of {@link createControlPlane}. */
export interface ControlPlaneOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly auth: PeerAuth;
  readonly peerClient: PeerClient;
  readonly store: StoreClient;
  readonly config: DocumentSink;
  readonly hostList: HostListFollower;
  readonly random?: () => number;
}

/** Membership and configuration distribution of this host. */
export interface ControlPlane extends PeerDirectory {
  /** Whether the heads of the service documents are known. */
  ready(): boolean;
  findings(): readonly ConfigFindingStatus[];
  lostDomains(): readonly string[];
  /** The membership, used for summaries within the failure domain; undefined before `start`. */
  membership(): Membership | undefined;
  /** Starts both parts. Resolves when the documents are known, or after a short wait during an outage. */
  start(peersPort: number, server: PeerServer): Promise<void>;
  /** Tells the peers that this host is leaving. */
  announceLeaving(): void;
  /** Tells the peers that this host has stopped, then stops. */
  close(): void;
  /** Stops without telling the peers, like a crash. */
  abort(): void;
}

const HOSTS_CHECK_INTERVAL_MS = 250;

/** Datagrams are sent in a later turn of the event loop, so closing the socket immediately would drop the last ones. */
const SOCKET_CLOSE_DELAY_MS = 50;

/** Components of a started control plane. */
interface Parts {
  readonly membership: Membership;
  readonly distribution: ConfigDistribution;
  readonly socket: DatagramSocket;
  readonly subscriptions: readonly Subscription[];
}

const toListedPeer = (host: ListedHost) => ({
  host: {
    hostId: host.id,
    address: host.address,
    peersPort: host.peerPort ?? 0,
    failureDomain: host.failureDomain,
    region: host.region,
  },
  leaving: host.state === 'leaving',
});

const toPeers = (hosts: readonly ListedHost[]): readonly ListedPeer[] =>
  hosts.filter(({ role }) => role === 'entry').map(toListedPeer);

const createParts = async (options: ControlPlaneOptions, self: EntryHostView): Promise<Parts> => {
  const { auth, clock, hostList, logger, config, store, peerClient } = options;
  const common = { clock, logger, peerClient, self, random: options.random ?? Math.random };
  let receive: (bytes: Uint8Array) => void = () => undefined;
  const socket = await createDatagramSocket({
    address: self.address,
    port: self.peersPort,
    auth,
    onMessage: (bytes) => receive(bytes),
    onRefused: (error) => logger.event('peerDatagramRefused', { error: error.message }),
  });
  const membership = createMembership({
    ...common,
    send: (to, bytes) => socket.send({ address: to.address, port: to.peersPort }, bytes),
  });
  receive = (bytes) => membership.receive(bytes);
  const distribution = createConfigDistribution({
    ...common,
    store,
    headsPrefix: HEADS_PREFIX,
    readHead: (entry) => parseHead(entry, logger),
    onApply: config.apply,
    onDigest: (digest) => membership.setDigest(digest),
  });
  const news = membership.news.subscribe((item) => {
    if (item.type === 'digest-heard') {
      distribution.noteDigest(item.from, item.digest);
    } else if (item.type === 'woke') {
      distribution.notePauseEnded();
    } else {
      hostList.receiveSummary(item.topic, item.payload);
    }
  });
  const announcements = hostList.announcements.subscribe((payload) =>
    membership.broadcastSummary(HOST_LIST_TOPIC, payload),
  );
  const changes = hostList.changes.subscribe((hosts) => membership.setListed(toPeers(hosts)));
  return { membership, distribution, socket, subscriptions: [news, changes, announcements] };
};

class HostControlPlane implements ControlPlane {
  private readonly timers = new Map<string, Timer>();

  private parts: Parts | undefined;

  private hostsKey = '';

  private lastHosts: readonly EntryHostView[] | undefined;

  private self: EntryHostView;

  constructor(private readonly options: ControlPlaneOptions) {
    const { host, peers } = options.settings;
    const { address, failureDomain, region } = host;
    this.self = { hostId: host.id, address, failureDomain, region, peersPort: peers.port };
  }

  liveHosts(): readonly EntryHostView[] {
    return this.parts?.membership.liveHosts() ?? [this.self];
  }

  ready(): boolean {
    return this.parts?.distribution.ready() ?? false;
  }

  findings(): readonly ConfigFindingStatus[] {
    return this.parts?.distribution.findings() ?? [];
  }

  lostDomains(): readonly string[] {
    const domains = this.parts?.membership.state().domains ?? new Map();
    return [...domains].flatMap(([name, { state }]) => (state === 'lost' ? [name] : []));
  }

  membership(): Membership | undefined {
    return this.parts?.membership;
  }

  async start(peersPort: number, server: PeerServer): Promise<void> {
    this.self = { ...this.self, peersPort };
    this.parts = await createParts(this.options, this.self);
    const { membership, distribution } = this.parts;
    const { hostList } = this.options;
    membership.register(server);
    distribution.register(server);
    membership.start();
    hostList.register(server);
    membership.setListed(toPeers(hostList.hosts()));
    this.repeat('hosts', HOSTS_CHECK_INTERVAL_MS, () => this.updateHosts());
    await distribution.start();
  }

  announceLeaving(): void {
    this.parts?.membership.announceLeaving();
  }

  close(): void {
    this.timers.forEach((timer) => timer.close());
    this.parts?.subscriptions.forEach((subscription) => subscription.unsubscribe());
    this.parts?.distribution.close();
    this.parts?.membership.close();
    this.options.clock.schedule(SOCKET_CLOSE_DELAY_MS, () => this.parts?.socket.close());
  }

  abort(): void {
    this.parts?.socket.close();
    this.close();
  }

  /** Passes the live hosts on to the distribution and the host list when they have changed. */
  private updateHosts(): void {
    const hosts = this.liveHosts();
    if (hosts === this.lastHosts) {
      return;
    }
    this.lastHosts = hosts;
    const key = hosts
      .map(({ hostId, address, peersPort }) => `${hostId}=${address}:${peersPort}`)
      .sort()
      .join(' ');
    if (key !== this.hostsKey) {
      this.hostsKey = key;
      this.parts?.distribution.setHosts(hosts);
      this.options.hostList.setHosts(hosts);
    }
  }

  private repeat(name: string, periodMs: number, run: () => void): void {
    run();
    this.timers.set(
      name,
      this.options.clock.schedule(periodMs, () => this.repeat(name, periodMs, run)),
    );
  }
}

/**
 * Creates the control plane of an entry host.
 *
 * @param options - settings and components of this host
 * @returns the control plane; before `start`, it lists only this host
 * @example
 * const control = createControlPlane({ ...base, config: holder, hostList });
 */
export default function createControlPlane(options: ControlPlaneOptions): ControlPlane {
  return new HostControlPlane(options);
}
