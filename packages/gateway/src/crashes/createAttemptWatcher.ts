import type { Clock } from '@bergamotcove/clock';
import {
  createCrashDetector,
  createOutputHistory,
  createRunHistory,
  type CrashDetector,
  type LossKind,
  type OutputHistory,
  type OutputQuery,
  type OutputSummary,
  type ProcessCrash,
  type RunHistory,
  type RunningAttempt,
} from '@bergamotcove/decide';
import { exhaustive } from '@bergamotcove/errors';
import type { Logger } from '@bergamotcove/log';
import type { ScrapedMetrics } from '@bergamotcove/telemetry';
import type { BackendDirectory, KnownServer } from '../catalogue/BackendDirectory.js';
import checkConnection from './checkConnection.js';

/** How an attempt ended, as evidence about its server. */
export type AttemptEnding =
  /** A complete answer of success. */
  | 'succeeded'
  /** Another complete answer; the server may not have run the request to its end. */
  | 'answered'
  /** The server did not accept the request. */
  | 'refused'
  /** The server refused the connection. */
  | 'unreachable'
  /** The connection was lost. */
  | 'reset'
  /** No readable answer came before the attempt was given up. */
  | 'silent'
  /** The request ended before the attempt. */
  | 'abandoned';

/** Watch of one attempt for a crash of its server. */
export interface AttemptWatch {
  /** Records that the server has begun to answer. */
  noteAnswering(): void;
  /** Records that the server has produced output: an event of a stream, or a whole answer. */
  noteOutput(): void;
  /** Records the end of the attempt; resolves when it is known whether its request may be sent again. */
  end(ending: AttemptEnding): Promise<void>;
}

/** Watches the attempts of this host for crashes of their servers. */
export interface AttemptWatcher {
  /** Watches an attempt that sends requests to a server: one request, or those whose pieces a call contains. */
  watch(server: KnownServer, fingerprints: readonly string[], parts?: readonly string[]): AttemptWatch;
  /** Counts the successful runs of a request since a monotonic time. */
  countRuns(fingerprint: string, sinceMs: number): number;
  /** Summarises the output of servers that this host has seen. */
  summariseOutputs(query: OutputQuery): OutputSummary;
}

/** Options of {@link createAttemptWatcher}. */
export interface AttemptWatcherOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: ScrapedMetrics;
  readonly directory: Pick<BackendDirectory, 'onProcessEnded' | 'storeLost'>;
  /** Called when a process ended while it ran requests; resolves when it is known which of them are blocked. */
  readonly onCrash: (crash: ProcessCrash) => Promise<void>;
}

class Watcher implements AttemptWatcher {
  private readonly crashDetector: CrashDetector;

  private readonly history: RunHistory = createRunHistory();

  private readonly outputs: OutputHistory = createOutputHistory();

  constructor(private readonly options: AttemptWatcherOptions) {
    const { clock, directory } = options;
    this.crashDetector = createCrashDetector({ isListStale: () => directory.storeLost });
    directory.onProcessEnded(({ serverId, startedAtMs, end }) => {
      const process = { serverId, startId: String(startedAtMs) };
      this.handleCrash(this.crashDetector.noteEnded(process, end, clock.monotonicMs())).catch(() => undefined);
    });
  }

  watch(server: KnownServer, fingerprints: readonly string[], parts: readonly string[] = []): AttemptWatch {
    const { crashDetector } = this;
    const { serverId, startedAtMs, pool } = server;
    const attempt = crashDetector.begin({ serverId, startId: String(startedAtMs), pool }, fingerprints, parts);
    return {
      noteAnswering: () => crashDetector.noteAnswering(attempt),
      noteOutput: () => this.noteOutput(server, attempt),
      end: (ending) => this.end(server, attempt, ending),
    };
  }

  countRuns(fingerprint: string, sinceMs: number): number {
    return this.history.count(fingerprint, sinceMs, this.options.clock.monotonicMs());
  }

  summariseOutputs(query: OutputQuery): OutputSummary {
    return this.outputs.summarise(query, this.options.clock.monotonicMs());
  }

  private noteOutput({ serverId, pool }: KnownServer, attempt: RunningAttempt): void {
    const { parts } = attempt;
    const nowMs = this.options.clock.monotonicMs();
    const isFirst = this.crashDetector.noteOutput(attempt, nowMs);
    if (isFirst && parts.length > 0) {
      this.outputs.note({ serverId, pool, parts }, nowMs);
    }
  }

  private async end(server: KnownServer, attempt: RunningAttempt, ending: AttemptEnding): Promise<void> {
    const { crashDetector } = this;
    const nowMs = this.options.clock.monotonicMs();
    switch (ending) {
      case 'succeeded':
        attempt.fingerprints.forEach((fingerprint) => this.history.note(fingerprint, server.serverId, nowMs));
        this.noteOutput(server, attempt);
        crashDetector.noteAnswered(attempt, nowMs);
        break;
      case 'answered':
        crashDetector.noteAnswered(attempt, nowMs);
        break;
      case 'refused':
        crashDetector.drop(attempt);
        break;
      case 'unreachable':
        await this.handleCrash(crashDetector.noteUnreachable(attempt, nowMs));
        break;
      case 'reset':
        if (!(await this.noteLoss(attempt, ending))) {
          await this.checkServer(server, attempt);
        }
        break;
      case 'silent':
      case 'abandoned':
        await this.noteLoss(attempt, ending);
        break;
      default:
        exhaustive(ending);
    }
  }

  /** Records a lost attempt; true when the process is known to have ended. */
  private async noteLoss(attempt: RunningAttempt, kind: LossKind): Promise<boolean> {
    const crash = this.crashDetector.noteLost(attempt, kind, this.options.clock.monotonicMs());
    await this.handleCrash(crash);
    return crash !== undefined;
  }

  private async checkServer(server: KnownServer, attempt: RunningAttempt): Promise<void> {
    const { clock, logger, metrics } = this.options;
    const check = await checkConnection(server);
    metrics.report('server.losses', 1, { verdict: check });
    if (check === 'refused') {
      await this.handleCrash(this.crashDetector.noteRefused(attempt, clock.monotonicMs()));
    } else {
      const { fingerprints } = attempt;
      logger.event('serverLossUnproved', { serverId: server.serverId, fingerprints, reason: check });
    }
  }

  private async handleCrash(crash: ProcessCrash | undefined): Promise<void> {
    if (crash !== undefined) {
      this.history.noteEnded(crash.serverId, crash.atMs);
      this.outputs.noteEnded(crash.serverId, crash.atMs);
      await this.options.onCrash(crash);
    }
  }
}

/**
 * Creates the watcher of a host's attempts.
 *
 * @param options - directory of the servers, and the receiver of crashes
 * @returns the watcher
 */
export default function createAttemptWatcher(options: AttemptWatcherOptions): AttemptWatcher {
  return new Watcher(options);
}
