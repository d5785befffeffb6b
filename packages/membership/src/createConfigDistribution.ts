import type { Subscription } from 'rxjs';
import type { Clock, Timer } from '@bergamotcove/clock';
import {
  advanceConvergence,
  compareVersions,
  createConvergenceState,
  TICK_MS,
  type ConfigFinding,
  type ConvergenceAction,
  type ConvergenceEvent,
  type ConvergenceState,
} from '@bergamotcove/decide';
import { exhaustive } from '@bergamotcove/errors';
import type { Logger } from '@bergamotcove/log';
import type { StoreClient, StoreEntry } from '@bergamotcove/backends';
import {
  configOfferSchema,
  configPullAnswerSchema,
  configPullSchema,
  configPushSchema,
  type ConfigPullAnswer,
  type PeerAddress,
  type VersionedDocument,
} from '@bergamotcove/protocol';
import type { PeerClient, PeerServer } from '@bergamotcove/transport';
import takeFittingDocuments from './_lib/takeFittingDocuments.js';
import runConcurrently from './_lib/runConcurrently.js';
import { INITIAL_LOAD_TIMEOUT_MS, PEER_TIMEOUT_MS, PUSH_CONCURRENCY } from './constants.js';

/** Options of {@link createConfigDistribution}. */
export interface ConfigDistributionOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: () => number;
  readonly self: PeerAddress;
  readonly store: StoreClient;
  readonly peerClient: PeerClient;
  /** Prefix of the heads (current versions of the documents) in the store. */
  readonly headsPrefix: string;
  /** Parses a head; returns undefined when it is not a valid document. */
  readonly readHead: (entry: StoreEntry) => VersionedDocument | undefined;
  /** Called with each document that takes effect. */
  readonly onApply: (document: VersionedDocument) => void;
  /** Called with the digest of the documents at the start and whenever it changes. */
  readonly onDigest: (digest: string) => void;
}

/** Synchronises the documents of this host with the store and the peers. */
export interface ConfigDistribution {
  /** Whether the heads were read from the store or a peer. */
  ready(): boolean;
  findings(): readonly ConfigFinding[];
  setHosts(hosts: readonly PeerAddress[]): void;
  /** Processes the digest that a peer has announced. */
  noteDigest(from: PeerAddress, digest: string): void;
  /** Processes the end of a pause of this process. */
  notePauseEnded(): void;
  /** Registers `config.push`, `config.offer` and `config.pull`. */
  register(server: PeerServer): void;
  /** Starts the synchronisation; resolves when the heads are known, or after a short time limit in an outage. */
  start(): Promise<void>;
  close(): void;
}

type PullAction = Extract<ConvergenceAction, { type: 'pull' }>;

/** Feeds events to the convergence reducer and performs its actions. */
class ReducerDistribution implements ConfigDistribution {
  private state: ConvergenceState;

  private timer: Timer | undefined;

  private watch: Subscription | undefined;

  private closed = false;

  private resolveStart: (() => void) | undefined;

  constructor(private readonly options: ConfigDistributionOptions) {
    this.state = createConvergenceState(options.self, options.clock.monotonicMs(), options.random);
  }

  ready(): boolean {
    return this.state.learntFrom !== undefined;
  }

  findings(): readonly ConfigFinding[] {
    return [...this.state.findings.values()];
  }

  setHosts(hosts: readonly PeerAddress[]): void {
    this.handle({ type: 'hosts-changed', hosts });
  }

  noteDigest(from: PeerAddress, digest: string): void {
    this.handle({ type: 'digest-heard', from, digest });
  }

  notePauseEnded(): void {
    this.handle({ type: 'woke' });
  }

  register(server: PeerServer): void {
    server.register('config.push', (params) => {
      const { from, documents } = configPushSchema.parse(params);
      this.handle({ type: 'pushed', from: this.findPeer(from), documents });
      return {};
    });
    server.register('config.offer', (params) => {
      const { from, versions } = configOfferSchema.parse(params);
      this.handle({ type: 'offered', from: this.findPeer(from), versions });
      return {};
    });
    server.register('config.pull', (params) => this.answerPull(params));
  }

  start(): Promise<void> {
    const { clock, onDigest } = this.options;
    onDigest(this.state.digest);
    this.scheduleTick();
    return new Promise((resolve) => {
      const timer = clock.schedule(INITIAL_LOAD_TIMEOUT_MS, resolve);
      this.resolveStart = () => {
        timer.close();
        resolve();
      };
    });
  }

  close(): void {
    this.closed = true;
    this.timer?.close();
    this.watch?.unsubscribe();
    this.resolveStart?.();
  }

  private scheduleTick(): void {
    this.timer = this.options.clock.schedule(TICK_MS, () => {
      this.handle({ type: 'tick' });
      if (!this.closed) {
        this.scheduleTick();
      }
    });
  }

  /** Returns the address of a calling peer; for a host outside the view, an empty address that cannot be called. */
  private findPeer(hostId: string): PeerAddress {
    const known = this.state.hosts.find((host) => host.hostId === hostId);
    return known ?? { hostId, address: '', peersPort: 0, failureDomain: '', region: '' };
  }

  private handle(event: ConvergenceEvent): void {
    if (this.closed) {
      return;
    }
    const { clock, random } = this.options;
    const { state, actions } = advanceConvergence(this.state, event, clock.monotonicMs(), random);
    this.state = state;
    actions.forEach((action) => this.perform(action));
  }

  private perform(action: ConvergenceAction): void {
    const { logger, onApply, onDigest, self } = this.options;
    switch (action.type) {
      case 'apply':
        onApply(action.document);
        break;
      case 'report':
        logger.event('configRegressed', { ...action.finding });
        break;
      case 'clear':
        logger.event('configFindingCleared', { service: action.service });
        break;
      case 'learnt':
        logger.event('configLearnt', { from: action.from });
        this.resolveStart?.();
        break;
      case 'read-store':
        this.readStore().catch(() => undefined);
        break;
      case 'start-watch':
        this.startWatch().catch(() => undefined);
        break;
      case 'stop-watch':
        this.watch?.unsubscribe();
        break;
      case 'push':
        this.sendToAll(action.to, 'config.push', { from: self.hostId, documents: action.documents });
        break;
      case 'offer':
        this.sendToAll(action.to, 'config.offer', { from: self.hostId, versions: action.versions });
        break;
      case 'pull':
        this.pull(action).catch(() => this.handle({ type: 'pull-failed' }));
        break;
      case 'digest-changed':
        onDigest(action.digest);
        break;
      default:
        exhaustive(action);
    }
  }

  private sendToAll(hosts: readonly PeerAddress[], method: string, params: object): void {
    runConcurrently(hosts, PUSH_CONCURRENCY, (host) => this.call(host, method, params)).catch(() => undefined);
  }

  private call(host: PeerAddress, method: string, params: object): Promise<unknown> {
    const target = { address: host.address, port: host.peersPort };
    return this.options.peerClient.call(target, method, params, { timeoutMs: PEER_TIMEOUT_MS });
  }

  private versions() {
    return [...this.state.documents.values()].map(({ service, version, hash }) => ({ service, version, hash }));
  }

  private answerPull(params: unknown): ConfigPullAnswer {
    const { versions, services } = configPullSchema.parse(params);
    const { newer, wanted } = compareVersions(this.versions(), versions);
    const named = services === undefined ? newer : newer.filter((service) => services.includes(service));
    const documents = named.flatMap((service) => {
      const { appliedMs, ...document } = this.state.documents.get(service) ?? { appliedMs: 0 };
      return 'text' in document ? [document] : [];
    });
    return { documents: takeFittingDocuments(documents), wanted: [...wanted], learnt: this.ready() };
  }

  private async pull({ from, services, peerDigest }: PullAction): Promise<void> {
    const { self } = this.options;
    const params = { from: self.hostId, versions: this.versions(), ...(services === undefined ? {} : { services }) };
    const answer = configPullAnswerSchema.parse(await this.call(from, 'config.pull', params));
    this.handle({ type: 'pull-answered', from, ...answer, ...(peerDigest === undefined ? {} : { peerDigest }) });
  }

  /** Reads all heads; returns the revision of the store, or undefined when it does not answer. */
  private async readStore(): Promise<string | undefined> {
    const { clock, logger, store, headsPrefix, readHead } = this.options;
    const startedMs = clock.monotonicMs();
    try {
      const { entries, revision } = await store.range(headsPrefix);
      const documents = entries.flatMap((entry) => readHead(entry) ?? []);
      this.handle({ type: 'store-read', documents, startedMs });
      return revision;
    } catch (cause) {
      logger.event('storeUnavailable', { error: String(cause) });
      this.handle({ type: 'store-failed' });
      return undefined;
    }
  }

  private async startWatch(): Promise<void> {
    const { store, headsPrefix, readHead } = this.options;
    const revision = await this.readStore();
    if (revision === undefined || this.closed || this.state.watch !== 'starting') {
      return;
    }
    this.handle({ type: 'watch-started' });
    this.watch?.unsubscribe();
    this.watch = store.watch(headsPrefix, String(BigInt(revision) + 1n)).subscribe({
      next: (event) => {
        const document = event.type === 'put' ? readHead(event.entry) : undefined;
        if (document !== undefined) {
          this.handle({ type: 'watch-changed', document });
        }
      },
      error: () => this.handle({ type: 'watch-lost' }),
    });
  }
}

/**
 * Creates the distribution of service documents to and from this host.
 *
 * @param options - store, peers and callbacks
 * @returns the distribution; it runs from `start` to `close`
 * @example
 * const distribution = createConfigDistribution({ clock, logger, store, peerClient, onApply, ...rest });
 */
export default function createConfigDistribution(options: ConfigDistributionOptions): ConfigDistribution {
  return new ReducerDistribution(options);
}
