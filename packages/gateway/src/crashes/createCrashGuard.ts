import * as z from 'zod/mini';
import type { StoreClient } from '@bergamotcove/backends';
import type { Clock } from '@bergamotcove/clock';
import {
  advancePoison,
  countCrashes,
  noteCrash,
  POISON_BLOCK_MS,
  readBlock,
  type Charge,
  type PoisonEvent,
  type PoisonState,
  type ProcessCrash,
} from '@bergamotcove/decide';
import type { Logger } from '@bergamotcove/log';
import { OPERATOR_LIST_POISON, OPERATOR_RELEASE_POISON } from '@bergamotcove/protocol';
import type { ScrapedMetrics } from '@bergamotcove/telemetry';
import type { LinkClient, LinkMethod } from '@bergamotcove/transport';
import type { BackendDirectory, KnownServer } from '../catalogue/BackendDirectory.js';
import type { HostRegistry } from '../hosts/createHostRegistry.js';
import createAttemptWatcher, { type AttemptWatch, type AttemptWatcher } from './createAttemptWatcher.js';
import createBlockSharing, { type BlockExchange, type BlockSharing, type StoredBlocks } from './createBlockSharing.js';
import type { BlockPrefixes } from './createBlockStore.js';
import createCrashReporter, { type CrashReporter } from './createCrashReporter.js';
import createRunTally, { type RunTally } from './createRunTally.js';
import { REPORT_CRASH, type BlockNotice, type CrashReport } from './messages.js';

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
  /** Prefixes of the keys of blocks and releases. */
  readonly prefixes: BlockPrefixes;
  readonly hostId: string;
  readonly random: () => number;
}

const releaseSchema = z.object({ fingerprint: z.string().check(z.minLength(1), z.maxLength(64)) });

/** Crashes after which the requests that ran in all of them are told apart. */
const SUSPECT_CRASHES = 2;
/** Time for which a keeper leaves the write of a block to the host that has seen the crash. */
const KEEPER_DELAY_MS = 500;

class Guard implements CrashGuard {
  readonly methods: Readonly<Record<string, LinkMethod>>;

  private state: PoisonState = { crashes: [], blocks: new Map() };

  private readonly attempts: AttemptWatcher;

  private readonly tally: RunTally;

  private readonly reporter: CrashReporter;

  private readonly sharing: BlockSharing;

  /** Charges that are being weighed, by request. */
  private readonly weighed = new Map<string, Promise<void>>();

  /** Requests in progress that end when they are blocked. */
  private readonly listeners = new Map<string, Set<() => void>>();

  private readonly blockListeners: ((fingerprint: string) => void)[] = [];

  constructor(private readonly options: CrashGuardOptions) {
    this.attempts = createAttemptWatcher({ ...options, onCrash: (crash) => this.note(crash) });
    this.tally = createRunTally({
      ...options,
      countRuns: (fingerprint, sinceMs) => this.attempts.countRuns(fingerprint, sinceMs),
    });
    this.reporter = createCrashReporter(options);
    this.sharing = createBlockSharing({
      ...options,
      list: () => this.listBlocks(),
      onLearnt: ({ fingerprint, remainingMs }) => this.advance({ type: 'block', fingerprint, remainingMs }),
      onReleased: (fingerprint) => this.forget(fingerprint),
    });
    this.methods = {
      ...this.sharing.methods,
      ...this.tally.methods,
      [REPORT_CRASH]: (params) => {
        this.apply(params as CrashReport, 'peer').catch(() => undefined);
        return true;
      },
      [OPERATOR_LIST_POISON]: () => this.listBlocks(),
      [OPERATOR_RELEASE_POISON]: (params) => this.release(releaseSchema.parse(params).fingerprint),
    };
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
    this.tally.start(hosts);
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
    return this.attempts.watch(server, fingerprints);
  }

  /** Applies a crash that this host has seen, and tells those who put crashes together. */
  private async note({ atMs, ...facts }: ProcessCrash): Promise<void> {
    const report = { ...facts, agoMs: this.options.clock.monotonicMs() - atMs };
    this.reporter.report(report);
    await this.apply(report, 'own');
  }

  /** Notes a crash; resolves when the requests that it charges are weighed. */
  private async apply(report: CrashReport, source: 'own' | 'peer'): Promise<void> {
    const { clock, logger } = this.options;
    logger.event('serverCrashNoted', { ...report, source });
    const { state, charges } = noteCrash(this.state, { type: 'crash', ...report }, clock.monotonicMs());
    this.state = state;
    const open = charges.filter(({ fingerprint }) => this.readBlockMs(fingerprint) === undefined);
    await Promise.all(open.map((charge) => this.weigh(charge, source)));
  }

  /** Weighs one charge of a request at a time; a later one is weighed with what was found out by then. */
  private weigh(charge: Charge, source: 'own' | 'peer'): Promise<void> {
    const { fingerprint } = charge;
    const before = this.weighed.get(fingerprint) ?? Promise.resolve();
    const weighed = before.then(() => this.judge(charge, source));
    this.weighed.set(fingerprint, weighed);
    return weighed.finally(() => {
      if (this.weighed.get(fingerprint) === weighed) {
        this.weighed.delete(fingerprint);
      }
    });
  }

  /** Blocks a request unless the answers to it outweigh the crashes under it. */
  private async judge(charge: Charge, source: 'own' | 'peer'): Promise<void> {
    const { fingerprint, clearingRuns, isSpread } = charge;
    const isOpen = (): boolean => this.readBlockMs(fingerprint) === undefined && this.countCrashes(fingerprint) > 0;
    if (!isOpen()) {
      return;
    }
    const runs = await this.tally.count(charge);
    if (!isOpen()) {
      return;
    }
    const facts = { fingerprint, crashes: this.countCrashes(fingerprint), runs };
    if (runs < clearingRuns) {
      this.options.logger.event('requestPoisoned', facts);
      this.advance({ type: 'block', fingerprint, remainingMs: POISON_BLOCK_MS });
      const remainingMs = this.readBlockMs(fingerprint) ?? 0;
      this.sharing.announce({ fingerprint, remainingMs }, { storeDelayMs: source === 'own' ? 0 : KEEPER_DELAY_MS });
    } else if (isSpread) {
      this.options.logger.event('requestCleared', facts);
      this.advance({ type: 'cleared', fingerprint });
    } else {
      this.options.logger.event('requestSuspected', facts);
    }
  }

  private countCrashes(fingerprint: string): number {
    return countCrashes(this.state, fingerprint, this.options.clock.monotonicMs());
  }

  /** Applies an event, and ends what runs of a request that it blocks. */
  private advance(event: PoisonEvent): void {
    const { clock, metrics } = this.options;
    const { state, blocked } = advancePoison(this.state, event, clock.monotonicMs());
    this.state = state;
    blocked.forEach((fingerprint) => {
      metrics.report('request.blocks', 1);
      [...(this.listeners.get(fingerprint) ?? [])].forEach((run) => run());
      this.blockListeners.forEach((run) => run(fingerprint));
    });
  }

  /** Ends a block by an operator's order; rejects when the store does not take it. */
  private async release(fingerprint: string): Promise<{ readonly released: boolean }> {
    const released = this.readBlockMs(fingerprint) !== undefined;
    await this.sharing.release(fingerprint);
    return { released };
  }

  /** Forgets a request that an operator has released. */
  private forget(fingerprint: string): void {
    if (this.readBlockMs(fingerprint) !== undefined) {
      this.options.logger.event('requestUnblocked', { fingerprint });
    }
    this.reporter.forget(fingerprint);
    this.advance({ type: 'release', fingerprint });
  }

  private listBlocks(): readonly Omit<BlockNotice, 'release'>[] {
    return [...this.state.blocks.keys()].flatMap((fingerprint) => {
      const remainingMs = this.readBlockMs(fingerprint);
      return remainingMs === undefined ? [] : [{ fingerprint, remainingMs }];
    });
  }
}

/**
 * Creates the guard against requests that crash servers. A request is blocked when two servers crashed under it, on
 * this host or others, and no other request explains both crashes, or when it ran in three crashes, unless servers have
 * run it well often enough at the same time.
 *
 * @param options - servers, and links to other hosts
 * @returns the guard
 */
export default function createCrashGuard(options: CrashGuardOptions): CrashGuard {
  return new Guard(options);
}
