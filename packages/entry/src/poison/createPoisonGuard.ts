import { createHash } from 'node:crypto';
import { Observable, of, type Subscriber, type TeardownLogic } from 'rxjs';
import type { Clock, Timer } from '@bergamotcove/clock';
import { advancePoison, readBlock, RunningAttempts, type PoisonEvent, type PoisonState } from '@bergamotcove/decide';
import type { Logger } from '@bergamotcove/log';
import {
  OPERATOR_LIST_POISON,
  OPERATOR_RELEASE_POISON,
  POISON_BLOCKS,
  POISON_REPORT,
  poisonBlocksSchema,
  poisonReportSchema,
  releasePoisonSchema,
  type PoisonBlock,
} from '@bergamotcove/protocol';
import type { PeerClient, PeerServer } from '@bergamotcove/transport';
import type { CallerRequest } from '../callers/types.js';
import type { EntryHostView, PeerDirectory } from '../peers/types.js';
import type { AttemptEvent } from '../requests/startRun.js';
import createReportOutbox, { type ReportOutbox } from './createReportOutbox.js';

/** Options of {@link createPoisonGuard}. */
export interface PoisonGuardOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly peers: PeerClient;
  readonly peerServer: PeerServer;
  readonly directory: PeerDirectory;
  readonly hostId: string;
  /** Whether a server refuses connections; must not reject. */
  readonly isDown: (pool: string, serverId: string) => Promise<boolean>;
}

/** The request of a watched attempt. */
export interface WatchedRequest {
  readonly fingerprint: string;
  /** Pool of the attempt. */
  readonly pool: string;
  /** Monotonic time of the deadline: a connection that this host closes at the deadline is not a crash. */
  readonly deadlineAtMs: number;
}

/** Blocks requests that crash the servers they run on. */
export interface PoisonGuard {
  /** Starts an attempt unless its request is blocked, and watches it for a crash of its server. */
  watch(request: WatchedRequest, dispatch: () => Observable<AttemptEvent>): Observable<AttemptEvent>;
  /** Lists the blocks in force. */
  listBlocks(): readonly PoisonBlock[];
  /** Fetches the current blocks from another host, because a new host missed earlier reports. */
  start(): void;
  close(): void;
}

/** Time for which the report of a crash or a release is resent to hosts that have not confirmed it. */
const REPORT_LIFETIME_MS = 10_000;
/** Delay before another host is asked for the blocks, after one did not answer or while no other host is known. */
const FETCH_RETRY_MS = 500;
/** A host that finds no other host in this many tries is taken to be the first one. */
const MAX_FETCH_TRIES = 20;
const FETCH_TIMEOUT_MS = 500;
const FINGERPRINT_CHARS = 22;

/** Formats the fingerprint of a request; equal requests have the same fingerprint on every host. */
export const formatFingerprint = (request: CallerRequest): string =>
  createHash('sha256')
    .update(JSON.stringify([request.organisation, request.service, request.operation, request.input]))
    .digest('base64url')
    .slice(0, FINGERPRINT_CHARS);

class PeerPoisonGuard implements PoisonGuard {
  private state: PoisonState = { crashes: [], blocks: new Map() };

  private readonly running = new RunningAttempts();

  private readonly outbox: ReportOutbox;

  private fetchTimer: Timer | undefined;

  private fetchTries = 0;

  constructor(private readonly options: PoisonGuardOptions) {
    const { peerServer } = options;
    this.outbox = createReportOutbox(options);
    peerServer.register(POISON_REPORT, (params) => {
      this.handle(poisonReportSchema.parse(params));
      return {};
    });
    peerServer.register(OPERATOR_RELEASE_POISON, (params) => {
      const { fingerprint } = releasePoisonSchema.parse(params);
      const blocked = readBlock(this.state, fingerprint, options.clock.monotonicMs()) !== undefined;
      this.handle({ type: 'release', fingerprint });
      this.outbox.send({ type: 'release', fingerprint }, REPORT_LIFETIME_MS);
      return { released: blocked };
    });
    peerServer.register(OPERATOR_LIST_POISON, () => this.listBlocks());
    peerServer.register(POISON_BLOCKS, () => this.listBlocks());
  }

  start(): void {
    const { clock, directory, hostId } = this.options;
    const others = directory.liveHosts().filter((host) => host.hostId !== hostId);
    const other = others[this.fetchTries % Math.max(1, others.length)];
    this.fetchTries += 1;
    const repeat = (): void => {
      if (this.fetchTries < MAX_FETCH_TRIES) {
        this.fetchTimer = clock.schedule(FETCH_RETRY_MS, () => this.start());
      }
    };
    if (other === undefined) {
      repeat();
    } else {
      this.fetchBlocks(other).catch(repeat);
    }
  }

  close(): void {
    this.fetchTries = MAX_FETCH_TRIES;
    this.fetchTimer?.close();
    this.outbox.close();
  }

  listBlocks(): readonly PoisonBlock[] {
    const nowMs = this.options.clock.monotonicMs();
    return [...this.state.blocks]
      .filter(([, untilMs]) => untilMs > nowMs)
      .map(([fingerprint, untilMs]) => ({ fingerprint, remainingMs: untilMs - nowMs }));
  }

  watch(request: WatchedRequest, dispatch: () => Observable<AttemptEvent>): Observable<AttemptEvent> {
    const remainingMs = readBlock(this.state, request.fingerprint, this.options.clock.monotonicMs());
    if (remainingMs !== undefined) {
      const retryAfterMs = Math.ceil(remainingMs);
      return of({ type: 'failed', failure: { type: 'poisoned', retryAfterMs }, retryAllowed: false });
    }
    return new Observable((subscriber) => this.forwardEvents(request, dispatch(), subscriber));
  }

  /** Forwards events without creating a stream per event, because every generated token passes through here. */
  private forwardEvents(
    request: WatchedRequest,
    events: Observable<AttemptEvent>,
    subscriber: Subscriber<AttemptEvent>,
  ): TeardownLogic {
    const attempt = {};
    let serverId: string | undefined;
    let checking = false;
    const source = events.subscribe({
      next: (event) => {
        if (event.type === 'sent') {
          serverId = event.serverId;
          this.running.add(serverId, attempt, request.fingerprint);
        }
        if (serverId === undefined || !this.mayBeCrash(request, event)) {
          subscriber.next(event);
          return;
        }
        // The failure is the last event. It starts the next attempt, so it is forwarded only after the crash check.
        checking = true;
        this.checkCrash(request, serverId).then(() => {
          subscriber.next(event);
          subscriber.complete();
        });
      },
      error: (cause: unknown) => subscriber.error(cause),
      complete: () => {
        if (!checking) {
          subscriber.complete();
        }
      },
    });
    return () => {
      source.unsubscribe();
      if (serverId !== undefined) {
        this.running.remove(serverId, attempt);
      }
    };
  }

  private async fetchBlocks({ address, peersPort }: EntryHostView): Promise<void> {
    const target = { address, port: peersPort };
    const answer = await this.options.peers.call(target, POISON_BLOCKS, {}, { timeoutMs: FETCH_TIMEOUT_MS });
    poisonBlocksSchema.parse(answer).forEach((block) => this.handle({ type: 'block', ...block }));
  }

  private mayBeCrash(request: WatchedRequest, event: AttemptEvent): boolean {
    return (
      event.type === 'failed' &&
      event.failure.type === 'connection-lost' &&
      event.failure.answered !== true &&
      this.options.clock.monotonicMs() < request.deadlineAtMs
    );
  }

  /** Reports a crash if the server refuses new connections; a connection can also break without a crash. */
  private async checkCrash(request: WatchedRequest, serverId: string): Promise<void> {
    const fingerprints = [...this.running.list(serverId)];
    if (!(await this.options.isDown(request.pool, serverId))) {
      return;
    }
    const crash = { type: 'crash' as const, serverId, fingerprints };
    this.outbox.send(crash, REPORT_LIFETIME_MS);
    this.handle(crash);
  }

  private handle(event: PoisonEvent): void {
    const step = advancePoison(this.state, event, this.options.clock.monotonicMs());
    this.state = step.state;
    if (event.type === 'release') {
      this.outbox.dropBlock(event.fingerprint);
    }
    if (event.type === 'block') {
      return;
    }
    step.blocked.forEach((fingerprint) => {
      this.options.logger.event('requestPoisoned', { fingerprint });
      const remainingMs = readBlock(this.state, fingerprint, this.options.clock.monotonicMs()) ?? 0;
      this.outbox.send({ type: 'block', fingerprint, remainingMs }, remainingMs);
    });
  }
}

/**
 * Creates the guard against requests that crash servers and registers its peer and operator methods.
 *
 * @param options - peers and identity of this host
 * @returns the guard
 */
export default function createPoisonGuard(options: PoisonGuardOptions): PoisonGuard {
  return new PeerPoisonGuard(options);
}
