import { LRUCache } from 'lru-cache';
import type { StoreClient } from '@bergamotcove/backends';
import type { Clock } from '@bergamotcove/clock';
import {
  advancePoison,
  countCrashes,
  createLossBook,
  readBlock,
  type LossKind,
  type PoisonEvent,
  type PoisonState,
  type ProcessCrash,
  type RunningAttempt,
} from '@bergamotcove/decide';
import { exhaustive } from '@bergamotcove/errors';
import type { Logger } from '@bergamotcove/log';
import type { ScrapedMetrics } from '@bergamotcove/telemetry';
import type { LinkClient, LinkMethod } from '@bergamotcove/transport';
import type { BackendDirectory, KnownServer } from '../catalogue/createBackendDirectory.js';
import type { HostRegistry } from '../hosts/createHostRegistry.js';
import checkConnection from './checkConnection.js';
import createBlockSharing, { type BlockExchange, type BlockSharing, type StoredBlocks } from './createBlockSharing.js';
import createCrashReporter, { type CrashReporter } from './createCrashReporter.js';
import { REPORT_CRASH, type BlockNotice, type CrashReport } from './messages.js';

/** How an attempt ended, as far as it tells of its server. */
export type AttemptEnding =
  /** A whole answer. */
  | 'answered'
  /** The server did not take it. */
  | 'refused'
  /** The connection was lost. */
  | 'reset'
  /** Nothing came, or nothing that can be read, until it was given up. */
  | 'silent'
  /** The request ended first. */
  | 'abandoned';

/** An attempt that is watched for a crash of its server. */
export interface AttemptWatch {
  /** The server has begun to answer. */
  noteAnswering(): void;
  /** The attempt has ended; resolves when it is known whether the server refuses connections. */
  end(ending: AttemptEnding): Promise<void>;
}

/** Stops requests that crash the servers which run them, on all hosts. */
export interface CrashGuard {
  /** Time for which a request stays blocked because it crashed servers; undefined for one that is not. */
  readBlockMs(fingerprint: string): number | undefined;
  /** Calls when a request is blocked, until the returned function is called. */
  onBlocked(fingerprint: string, run: () => void): () => void;
  onEachBlock(run: (fingerprint: string) => void): void;
  /** Whether servers crashed under the request, and it is not known whether it is to blame. */
  isSuspect(fingerprint: string): boolean;
  /** Requests are sent to a server: one, or those whose pieces a call has. */
  watch(server: KnownServer, fingerprints: readonly string[]): AttemptWatch;
  /** A server has answered the request whole. */
  noteAnswered(fingerprint: string): void;
  readonly methods: Readonly<Record<string, LinkMethod>>;
  /** Blocks as they stand in the store. */
  readonly storedBlocks: StoredBlocks;
  /** Blocks for hosts that ask what they have missed. */
  readonly blockExchange: BlockExchange;
  /** Hosts that are told of crashes and blocks. */
  start(hosts: HostRegistry): void;
  close(): void;
}

/** Options of {@link createCrashGuard}. */
export interface CrashGuardOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: ScrapedMetrics;
  readonly links: LinkClient;
  readonly directory: Pick<BackendDirectory, 'onProcessEnded' | 'storeLost'>;
  readonly store: Pick<StoreClient, 'grantLease' | 'txn' | 'revokeLease'>;
  /** Prefix of the keys of blocks. */
  readonly prefix: string;
  readonly hostId: string;
}

/** Crashes after which the requests that ran in all of them are told apart. */
const SUSPECT_CRASHES = 2;
/** Answered requests that are remembered. */
const MAX_ANSWERED = 4_096;
/** Time for which a keeper leaves the write of a block to the host that has seen the crash. */
const KEEPER_DELAY_MS = 500;

class Guard implements CrashGuard {
  readonly methods: Readonly<Record<string, LinkMethod>>;

  private state: PoisonState = { crashes: [], blocks: new Map() };

  private readonly losses = createLossBook();

  /** Requests that were answered of late. */
  private readonly answered = new LRUCache<string, true>({ max: MAX_ANSWERED });

  private readonly reporter: CrashReporter;

  private readonly sharing: BlockSharing;

  /** Requests in progress that end when they are blocked. */
  private readonly listeners = new Map<string, Set<() => void>>();

  private readonly blockListeners: ((fingerprint: string) => void)[] = [];

  constructor(private readonly options: CrashGuardOptions) {
    const { clock, directory } = options;
    this.reporter = createCrashReporter(options);
    this.sharing = createBlockSharing({
      ...options,
      list: () => this.listBlocks(),
      onLearnt: (notice) => this.advance({ type: 'block', ...notice }),
      onReleased: (fingerprint) => this.release(fingerprint),
      isStoreLost: () => directory.storeLost,
    });
    this.methods = {
      ...this.sharing.methods,
      [REPORT_CRASH]: (params) => {
        this.apply(params as CrashReport, 'peer');
        return true;
      },
    };
    directory.onProcessEnded(({ serverId, startedAtMs, end }) => {
      const process = { serverId, startId: String(startedAtMs) };
      this.note(this.losses.noteEnded(process, end, clock.monotonicMs()));
    });
  }

  get storedBlocks(): StoredBlocks {
    return this.sharing.stored;
  }

  get blockExchange(): BlockExchange {
    return this.sharing.exchange;
  }

  start(hosts: HostRegistry): void {
    this.reporter.start(hosts);
    this.sharing.start(hosts);
  }

  close(): void {
    this.reporter.close();
    this.sharing.close();
  }

  readBlockMs(fingerprint: string): number | undefined {
    return readBlock(this.state, fingerprint, this.options.clock.monotonicMs());
  }

  onBlocked(fingerprint: string, run: () => void): () => void {
    const listeners = this.listeners.get(fingerprint) ?? new Set();
    listeners.add(run);
    this.listeners.set(fingerprint, listeners);
    return () => {
      listeners.delete(run);
      if (listeners.size === 0) {
        this.listeners.delete(fingerprint);
      }
    };
  }

  onEachBlock(run: (fingerprint: string) => void): void {
    this.blockListeners.push(run);
  }

  isSuspect(fingerprint: string): boolean {
    return this.countCrashes(fingerprint) >= SUSPECT_CRASHES;
  }

  watch(server: KnownServer, fingerprints: readonly string[]): AttemptWatch {
    const { losses } = this;
    const attempt = losses.begin({ serverId: server.serverId, startId: String(server.startedAtMs) }, fingerprints);
    return {
      noteAnswering: () => losses.noteAnswering(attempt),
      end: (ending) => this.end(server, attempt, ending),
    };
  }

  noteAnswered(fingerprint: string): void {
    this.answered.set(fingerprint, true);
    const crashes = this.countCrashes(fingerprint);
    if (crashes > 0) {
      this.options.logger.event('requestCleared', { fingerprint, crashes });
      this.advance({ type: 'answered', fingerprint });
    }
  }

  private async end(server: KnownServer, attempt: RunningAttempt, ending: AttemptEnding): Promise<void> {
    switch (ending) {
      case 'answered':
        this.losses.noteAnswered(attempt);
        break;
      case 'refused':
        this.losses.drop(attempt);
        break;
      case 'reset':
        if (!this.lose(attempt, ending)) {
          await this.check(server, attempt);
        }
        break;
      case 'silent':
      case 'abandoned':
        this.lose(attempt, ending);
        break;
      default:
        exhaustive(ending);
    }
  }

  /** Notes a loss; true when the process is known to have ended. */
  private lose(attempt: RunningAttempt, kind: LossKind): boolean {
    const crash = this.losses.noteLost(attempt, kind, this.options.clock.monotonicMs());
    this.note(crash);
    return crash !== undefined;
  }

  private async check(server: KnownServer, attempt: RunningAttempt): Promise<void> {
    const { clock, logger, metrics } = this.options;
    const check = await checkConnection(server);
    metrics.report('server.losses', 1, { verdict: check });
    if (check === 'refused') {
      this.note(this.losses.noteRefused(attempt, clock.monotonicMs()));
    } else {
      const { fingerprints } = attempt;
      logger.event('serverLossUnproved', { serverId: server.serverId, fingerprints, reason: check });
    }
  }

  /** Applies a crash that this host has seen, and tells those who put crashes together. */
  private note(crash: ProcessCrash | undefined): void {
    if (crash !== undefined) {
      const { atMs, ...facts } = crash;
      const agoMs = this.options.clock.monotonicMs() - atMs;
      const known = facts.fingerprints.filter((fingerprint) => this.answered.has(fingerprint));
      this.apply({ ...facts, agoMs, doubtful: [...facts.doubtful, ...known] }, 'own');
      this.reportUnknown({ ...facts, agoMs }, new Set(known));
    }
  }

  /** Requests that this host has seen answered are judged here, where their next answers are seen. */
  private reportUnknown(report: CrashReport, known: ReadonlySet<string>): void {
    const fingerprints = report.fingerprints.filter((fingerprint) => !known.has(fingerprint));
    if (fingerprints.length > 0) {
      this.reporter.report({ ...report, fingerprints });
    }
  }

  private apply(report: CrashReport, source: 'own' | 'peer'): void {
    this.options.logger.event('serverCrashNoted', { ...report, source });
    const blocked = this.advance({ type: 'crash', ...report });
    blocked.forEach((fingerprint) => {
      this.options.logger.event('requestPoisoned', { fingerprint, serverId: report.serverId });
      const remainingMs = this.readBlockMs(fingerprint) ?? 0;
      this.sharing.announce({ fingerprint, remainingMs }, { storeDelayMs: source === 'own' ? 0 : KEEPER_DELAY_MS });
    });
    this.logSuspects(report.fingerprints);
  }

  private logSuspects(fingerprints: readonly string[]): void {
    fingerprints
      .filter((fingerprint) => this.readBlockMs(fingerprint) === undefined)
      .map((fingerprint) => ({ fingerprint, crashes: this.countCrashes(fingerprint) }))
      .filter(({ crashes }) => crashes >= SUSPECT_CRASHES)
      .forEach((suspect) => this.options.logger.event('requestSuspected', suspect));
  }

  private countCrashes(fingerprint: string): number {
    return countCrashes(this.state, fingerprint, this.options.clock.monotonicMs());
  }

  /** Applies an event; returns the requests that it blocks in addition. */
  private advance(event: PoisonEvent): readonly string[] {
    const { clock, metrics } = this.options;
    const { state, blocked } = advancePoison(this.state, event, clock.monotonicMs());
    this.state = state;
    blocked.forEach((fingerprint) => {
      metrics.report('request.blocks', 1);
      [...(this.listeners.get(fingerprint) ?? [])].forEach((run) => run());
      this.blockListeners.forEach((run) => run(fingerprint));
    });
    return blocked;
  }

  private release(fingerprint: string): void {
    if (this.readBlockMs(fingerprint) !== undefined) {
      this.options.logger.event('requestUnblocked', { fingerprint });
      this.advance({ type: 'release', fingerprint });
    }
  }

  private listBlocks(): readonly BlockNotice[] {
    return [...this.state.blocks.keys()].flatMap((fingerprint) => {
      const remainingMs = this.readBlockMs(fingerprint);
      return remainingMs === undefined ? [] : [{ fingerprint, remainingMs }];
    });
  }
}

/**
 * Creates the guard against requests that crash servers. A request is blocked when two servers crashed under it, on
 * this host or others, and no other request explains both crashes, or when it ran in three crashes.
 *
 * @param options - servers, and links to other hosts
 * @returns the guard
 */
export default function createCrashGuard(options: CrashGuardOptions): CrashGuard {
  return new Guard(options);
}
