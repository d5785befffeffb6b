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
import boundDocuments from './_lib/boundDocuments.js';
import runBounded from './_lib/runBounded.js';
import { FIRST_LEARN_MS, PEER_TIMEOUT_MS, PUSH_CONCURRENCY } from './constants.js';

/** Options of {@link createConfigDistribution}. */
export interface ConfigDistributionOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: () => number;
  readonly self: PeerAddress;
  readonly store: StoreClient;
  readonly peerClient: PeerClient;
  /** Prefix of the heads in the store. */
  readonly headsPrefix: string;
  /** Reads a head; undefined when it is not a valid document. */
  readonly readHead: (entry: StoreEntry) => VersionedDocument | undefined;
  /** Puts a document in force. */
  readonly onApply: (document: VersionedDocument) => void;
  readonly onDigest: (digest: string) => void;
}

/** Keeps the documents of this host in step with the store and the peers. */
export interface ConfigDistribution {
  /** Whether the heads were learnt from the store or a peer. */
  ready(): boolean;
  findings(): readonly ConfigFinding[];
  setHosts(hosts: readonly PeerAddress[]): void;
  noteDigest(from: PeerAddress, digest: string): void;
  noteWoke(): void;
  /** Registers `config.push`, `config.offer` and `config.pull`. */
  register(server: PeerServer): void;
  /** Resolves when the heads are learnt, or after a short wait in an outage. */
  start(): Promise<void>;
  close(): void;
}

type PullAction = Extract<ConvergenceAction, { type: 'pull' }>;

/** Interpreter of the convergence reducer. */
class ReducedDistribution implements ConfigDistribution {
  private state: ConvergenceState;

  private timer: Timer | undefined;

  private watch: Subscription | undefined;

  private closed = false;

  private resolveLearnt: (() => void) | undefined;

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

  noteWoke(): void {
    this.handle({ type: 'woke' });
  }

  register(server: PeerServer): void {
    server.register('config.push', (params) => {
      const { from, documents } = configPushSchema.parse(params);
      this.handle({ type: 'pushed', from: this.peer(from), documents });
      return {};
    });
    server.register('config.offer', (params) => {
      const { from, versions } = configOfferSchema.parse(params);
      this.handle({ type: 'offered', from: this.peer(from), versions });
      return {};
    });
    server.register('config.pull', (params) => this.answerPull(params));
  }

  start(): Promise<void> {
    const { clock, onDigest } = this.options;
    onDigest(this.state.digest);
    this.tick();
    return new Promise((resolve) => {
      const timer = clock.schedule(FIRST_LEARN_MS, resolve);
      this.resolveLearnt = () => {
        timer.close();
        resolve();
      };
    });
  }

  close(): void {
    this.closed = true;
    this.timer?.close();
    this.watch?.unsubscribe();
    this.resolveLearnt?.();
  }

  private tick(): void {
    this.timer = this.options.clock.schedule(TICK_MS, () => {
      this.handle({ type: 'tick' });
      if (!this.closed) {
        this.tick();
      }
    });
  }

  /** Address of a peer that called; one outside the view is answered at no address. */
  private peer(hostId: string): PeerAddress {
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
        this.resolveLearnt?.();
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
        this.tell(action.to, 'config.push', { from: self.hostId, documents: action.documents });
        break;
      case 'offer':
        this.tell(action.to, 'config.offer', { from: self.hostId, versions: action.versions });
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

  private tell(hosts: readonly PeerAddress[], method: string, params: object): void {
    runBounded(hosts, PUSH_CONCURRENCY, (host) => this.call(host, method, params)).catch(() => undefined);
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
    return { documents: boundDocuments(documents), wanted: [...wanted], learnt: this.ready() };
  }

  private async pull({ from, services, peerDigest }: PullAction): Promise<void> {
    const { self } = this.options;
    const params = { from: self.hostId, versions: this.versions(), ...(services === undefined ? {} : { services }) };
    const answer = configPullAnswerSchema.parse(await this.call(from, 'config.pull', params));
    this.handle({ type: 'pull-answered', from, ...answer, ...(peerDigest === undefined ? {} : { peerDigest }) });
  }

  /** Reads all heads; returns the revision, or undefined when the store does not answer. */
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
 * Creates the distribution of the configuration to and from this host.
 *
 * @param options - store, peers and what to do with documents
 * @returns the distribution; it runs from `start` to `close`
 * @example
 * const distribution = createConfigDistribution({ clock, logger, store, peerClient, onApply, ...rest });
 */
export default function createConfigDistribution(options: ConfigDistributionOptions): ConfigDistribution {
  return new ReducedDistribution(options);
}
