import * as z from 'zod/mini';
import type { StoreClient } from '@bergamotcove/backends';
import type { Clock } from '@bergamotcove/clock';
import {
  advancePoison,
  countCrashes,
  noteCrash,
  POISON_BLOCK_MS,
  readBlock,
  type PoisonSuspect,
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
import createOutputTally, { type OutputTally } from './createOutputTally.js';
import createPartJudge, { type PartJudge } from './createPartJudge.js';
import createRunTally, { type RunTally } from './createRunTally.js';
import { isPartKey } from './listPartKeys.js';
import { REPORT_CRASH, type BlockNotice, type CrashReport } from './messages.js';

/** Blocks requests that crash the servers which run them, on all hosts. */
export interface CrashGuard {
  /** Remaining time for which a request is blocked because it crashed servers; undefined when it is not blocked. */
  readBlockMs(fingerprint: string): number | undefined;
  /** Finds the block of a request: its own, or that of a part of its prompt. */
  findBlock(request: BlockedBy): FoundBlock | undefined;
  /** Calls a listener when a request, or a part of its prompt, is blocked, until the returned function is called. */
  onBlocked(request: BlockedBy, run: () => void): () => void;
  onAnyBlocked(run: (fingerprint: string) => void): void;
  /** Whether several servers crashed while they ran the request, without proof that it caused the crashes. */
  isSuspect(fingerprint: string): boolean;
  /**
   * Watches an attempt that sends requests to a server: one request with the shared parts of its prompt, or those whose
   * pieces a call contains.
   */
  watch(server: KnownServer, fingerprints: readonly string[], parts?: readonly string[]): AttemptWatch;
  readonly methods: Readonly<Record<string, LinkMethod>>;
  /** Consumer of the blocks in the store. */
  readonly storedBlocks: StoredBlocks;
  /** Blocks for the exchange with hosts that request what they have missed. */
  readonly blockExchange: BlockExchange;
  /** Starts to send crashes and blocks to other hosts. */
  start(hosts: HostRegistry): void;
  close(): void;
}

/** What a request can be blocked by. */
export interface BlockedBy {
  readonly fingerprint: string;
  /** Keys of the shared parts of its prompt. */
  readonly partKeys: readonly string[];
}

/** A block that is in force. */
export interface FoundBlock {
  /** Fingerprint of the request, or key of the part of its prompt. */
  readonly key: string;
  readonly remainingMs: number;
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

/** Number of crashes from which the requests that ran in all of them are suspects and have to be told apart. */
const SUSPECT_CRASHES = 2;
/** Delay before a collector writes a block to the store, so that the host that observed the crash writes it first. */
const COLLECTOR_DELAY_MS = 500;

class Guard implements CrashGuard {
  readonly methods: Readonly<Record<string, LinkMethod>>;

  private state: PoisonState = { crashes: [], blocks: new Map() };

  private readonly attempts: AttemptWatcher;

  private readonly tally: RunTally;

  private readonly outputs: OutputTally;

  private readonly parts: PartJudge;

  private readonly reporter: CrashReporter;

  private readonly sharing: BlockSharing;

  /** Evaluations of suspects in progress, by fingerprint of the request. */
  private readonly evaluations = new Map<string, Promise<void>>();

  /** Listeners of requests in progress, which end when they are blocked. */
  private readonly listeners = new Map<string, Set<() => void>>();

  private readonly blockListeners: ((fingerprint: string) => void)[] = [];

  constructor(private readonly options: CrashGuardOptions) {
    this.attempts = createAttemptWatcher({ ...options, onCrash: (crash) => this.handleCrash(crash) });
    this.tally = createRunTally({
      ...options,
      countRuns: (fingerprint, sinceMs) => this.attempts.countRuns(fingerprint, sinceMs),
    });
    this.outputs = createOutputTally({ ...options, summarise: (query) => this.attempts.summariseOutputs(query) });
    this.parts = createPartJudge({
      ...options,
      tally: this.outputs,
      readState: () => this.state,
      onBlamed: (part) => this.block(part, COLLECTOR_DELAY_MS),
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
      ...this.outputs.methods,
      [REPORT_CRASH]: (params) => {
        this.applyReport(params as CrashReport, 'peer').catch(() => undefined);
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
    this.outputs.start(hosts);
  }

  close(): void {
    this.reporter.close();
    this.sharing.close();
    this.parts.close();
  }

  readBlockMs(fingerprint: string): number | undefined {
    return readBlock(this.state, fingerprint, this.options.clock.monotonicMs());
  }

  findBlock({ fingerprint, partKeys }: BlockedBy): FoundBlock | undefined {
    return [fingerprint, ...partKeys]
      .map((key) => ({ key, remainingMs: this.readBlockMs(key) ?? 0 }))
      .find(({ remainingMs }) => remainingMs > 0);
  }

  onBlocked({ fingerprint, partKeys }: BlockedBy, run: () => void): () => void {
    const keys = [fingerprint, ...partKeys];
    keys.forEach((key) => this.listeners.set(key, (this.listeners.get(key) ?? new Set()).add(run)));
    return () =>
      keys.forEach((key) => {
        const listeners = this.listeners.get(key);
        listeners?.delete(run);
        if (listeners?.size === 0) {
          this.listeners.delete(key);
        }
      });
  }

  onAnyBlocked(run: (fingerprint: string) => void): void {
    this.blockListeners.push(run);
  }

  isSuspect(fingerprint: string): boolean {
    return this.countCrashes(fingerprint) >= SUSPECT_CRASHES;
  }

  watch(server: KnownServer, fingerprints: readonly string[], parts: readonly string[] = []): AttemptWatch {
    return this.attempts.watch(server, fingerprints, parts);
  }

  /** Applies a crash that this host has observed, and reports it to the collectors. */
  private async handleCrash({ atMs, ...facts }: ProcessCrash): Promise<void> {
    const report = { ...facts, agoMs: this.options.clock.monotonicMs() - atMs };
    this.reporter.report(report);
    await this.applyReport(report, 'own');
  }

  /** Records a crash; resolves when the suspects that follow from it are evaluated. */
  private async applyReport(report: CrashReport, source: 'own' | 'peer'): Promise<void> {
    const { clock, logger } = this.options;
    const { prompts = [], ...facts } = report;
    const loggedPrompts = prompts.map(({ fingerprint, parts }) => [fingerprint, ...parts].join(' '));
    logger.event('serverCrashNoted', { ...facts, prompts: loggedPrompts, source });
    const notedAtMs = clock.monotonicMs();
    const note = (): readonly PoisonSuspect[] => {
      const event = { type: 'crash', ...report, agoMs: report.agoMs + clock.monotonicMs() - notedAtMs } as const;
      const { state, suspects } = noteCrash(this.state, event, clock.monotonicMs());
      this.state = state;
      return suspects;
    };
    let suspects = note();
    if (report.pool !== undefined && prompts.length > 0) {
      await this.parts.judge(report.pool);
      // Requests are not suspected of crashes that a part of a prompt explains.
      suspects = note();
    }
    const unblocked = suspects.filter(({ fingerprint }) => this.readBlockMs(fingerprint) === undefined);
    await Promise.all(unblocked.map((suspect) => this.evaluate(suspect, source)));
  }

  /** Evaluates the suspicions of one request in sequence, each one with the results of those before. */
  private evaluate(suspect: PoisonSuspect, source: 'own' | 'peer'): Promise<void> {
    const { fingerprint } = suspect;
    const previous = this.evaluations.get(fingerprint) ?? Promise.resolve();
    const evaluation = previous.then(() => this.decideBlock(suspect, source));
    this.evaluations.set(fingerprint, evaluation);
    return evaluation.finally(() => {
      if (this.evaluations.get(fingerprint) === evaluation) {
        this.evaluations.delete(fingerprint);
      }
    });
  }

  /** Blocks a request unless its successful runs outweigh its crashes. */
  private async decideBlock(suspect: PoisonSuspect, source: 'own' | 'peer'): Promise<void> {
    const { fingerprint, clearingRuns, isSpread } = suspect;
    const isUndecided = (): boolean =>
      this.readBlockMs(fingerprint) === undefined && this.countCrashes(fingerprint) > 0;
    if (!isUndecided()) {
      return;
    }
    const runs = await this.tally.count(suspect);
    if (!isUndecided()) {
      return;
    }
    const facts = { fingerprint, crashes: this.countCrashes(fingerprint), runs };
    if (runs < clearingRuns) {
      this.options.logger.event('requestPoisoned', facts);
      this.block(fingerprint, source === 'own' ? 0 : COLLECTOR_DELAY_MS);
    } else if (isSpread) {
      this.options.logger.event('requestCleared', facts);
      this.advance({ type: 'cleared', fingerprint });
    } else {
      this.options.logger.event('requestSuspected', facts);
    }
  }

  /** Blocks a request or a part of prompts on all hosts. */
  private block(fingerprint: string, storeDelayMs: number): void {
    this.advance({ type: 'block', fingerprint, remainingMs: POISON_BLOCK_MS });
    this.sharing.announce({ fingerprint, remainingMs: this.readBlockMs(fingerprint) ?? 0 }, { storeDelayMs });
  }

  private countCrashes(fingerprint: string): number {
    return countCrashes(this.state, fingerprint, this.options.clock.monotonicMs());
  }

  /** Applies an event, and notifies the listeners of requests that it blocks. */
  private advance(event: PoisonEvent): void {
    const { clock, metrics } = this.options;
    const { state, blocked } = advancePoison(this.state, event, clock.monotonicMs());
    this.state = state;
    blocked.forEach((fingerprint) => {
      metrics.report(isPartKey(fingerprint) ? 'part.blocks' : 'request.blocks', 1);
      [...(this.listeners.get(fingerprint) ?? [])].forEach((run) => run());
      this.blockListeners.forEach((run) => run(fingerprint));
    });
  }

  /** Releases a block for an operator; rejects when the store does not accept the release. */
  private async release(fingerprint: string): Promise<{ readonly released: boolean }> {
    const released = this.readBlockMs(fingerprint) !== undefined;
    await this.sharing.release(fingerprint);
    return { released };
  }

  /** Deletes the crashes and the block of a request that an operator has released. */
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
 * Creates the guard against requests that crash servers. A request is blocked when two servers crashed while they ran
 * it, for this host or others, and no other request explains both crashes, or when it ran in three crashes; unless
 * servers have run it successfully often enough in the same period. A part of prompts is blocked when its crashes
 * cannot be chance, see {@link createPartJudge}; then all requests with it are blocked.
 *
 * @param options - directory of the servers, store, and links to other hosts
 * @returns the guard
 */
export default function createCrashGuard(options: CrashGuardOptions): CrashGuard {
  return new Guard(options);
}
