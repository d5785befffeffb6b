import { Observable, type Subscriber, type Subscription } from 'rxjs';
import type { Clock, Timer } from '@bergamotcove/clock';
import type { ServiceDocument } from '@bergamotcove/config';
import {
  chooseServer,
  rankUrgency,
  shareDeadline,
  type AttemptFailure,
  type Choice,
  type DomainTracker,
  type Random,
  type ServerView,
} from '@bergamotcove/decide';
import { exhaustive } from '@bergamotcove/errors';
import { callServer, type ServerEvent } from '@bergamotcove/backends';
import type { Span, Tracer } from '@bergamotcove/telemetry';
import type { HttpClient } from '@bergamotcove/transport';
import createAttemptMonitor, { type AttemptMonitor } from '../servers/createAttemptMonitor.js';
import type { Estimates } from '../servers/createEstimates.js';
import type { PoolQueues, WaitingAttempt } from '../servers/createPoolQueues.js';
import type { PrefixHints } from '../servers/createPrefixHints.js';
import type { ServerDirectory } from '../servers/createServerDirectory.js';
import type { ServiceBudgets } from '../servers/createServiceBudgets.js';
import estimateBytes, { type MessageBytes } from './_lib/estimateBytes.js';
import toServerCall from './_lib/toServerCall.js';
import type { AttemptEvent, DispatchAction } from './startRun.js';
import type { DispatchContext } from './types.js';

/** Options of {@link createDispatcher}. */
export interface DispatcherOptions {
  readonly clock: Clock;
  readonly directory: ServerDirectory;
  readonly http: HttpClient;
  readonly tracer: Tracer;
  readonly random: Random;
  readonly estimates: Estimates;
  readonly queues: PoolQueues;
  readonly prefixes: PrefixHints;
  readonly domains: DomainTracker;
  readonly findBudgets: (service: string) => ServiceBudgets | undefined;
  readonly findDocument: (service: string) => ServiceDocument | undefined;
  /** Whether requests that wait for admission would miss their deadline on the servers of this region alone. */
  readonly isOverloaded: () => boolean;
  readonly failureDomain: string;
  readonly region: string;
}

/** Sends attempts to backend servers. */
export type Dispatcher = (action: DispatchAction, context: DispatchContext) => Observable<AttemptEvent>;

/** Interval of the progress checks of an attempt; several checks are needed to detect a straggler within 1 s. */
const PROGRESS_CHECK_INTERVAL_MS = 50;
const DEADLINE_SHARE_QUANTILE = 0.95;
const TYPICAL_QUANTILE = 0.5;
/**
 * A queued request is given up once less than this share of the median time of its remaining stages is left. The share
 * is below 1, because the estimates may be too high.
 */
const MIN_QUEUE_TIME_RATIO = 0.25;
const DEFAULT_HEDGE_QUANTILE = 0.95;
/**
 * A server that has not responded for this long counts as silent. A refused connection is reported much earlier: within
 * a region it takes a few ms.
 */
const SERVER_SILENCE_MS = 100;

/** One attempt: waits for a server, sends the call and reports its events. */
class AttemptRun {
  private timer: Timer | undefined;

  private call: Subscription | undefined;

  private span: Span | undefined;

  private monitor: AttemptMonitor | undefined;

  private waitingAttempt: WaitingAttempt | undefined;

  private hedged = false;

  /** Time of the last response of the server in this attempt, or of its start. */
  private lastResponseAtMs = 0;

  private readonly tokens: number;

  private readonly longOutput: boolean;

  constructor(
    private readonly options: DispatcherOptions,
    private readonly action: DispatchAction,
    private readonly context: DispatchContext,
    private readonly subscriber: Subscriber<AttemptEvent>,
  ) {
    const { plan } = context;
    this.tokens = options.estimates.stageTokens(plan, action.stage, action.resumeTokenIndex);
    this.longOutput = action.stage.kind === 'generate' && this.tokens >= plan.operation.longOutputTokens;
  }

  start(): void {
    const { clock, queues } = this.options;
    const { plan } = this.context;
    const latestStartAtMs = plan.deadlineAtMs - this.estimateRemainingStagesMs(TYPICAL_QUANTILE);
    this.waitingAttempt = {
      pool: this.action.stage.pool,
      long: this.longOutput,
      rank: rankUrgency({
        latestStartAtMs,
        enqueuedAtMs: clock.monotonicMs(),
        priority: plan.operation.priority,
      }),
      tryStart: () => this.tryStart(),
    };
    if (this.isFirstAttempt()) {
      const budgets = this.options.findBudgets(plan.service);
      budgets?.retries.earn();
      budgets?.hedges.earn();
    }
    queues.enqueue(this.waitingAttempt);
  }

  close(): void {
    if (this.waitingAttempt !== undefined) {
      this.options.queues.remove(this.waitingAttempt);
      this.waitingAttempt = undefined;
    }
    this.call?.unsubscribe();
    this.endSpan('cancelled');
    this.release();
  }

  private isFirstAttempt(): boolean {
    const { hedge, avoidServers, resumeTokenIndex } = this.action;
    return !hedge && avoidServers.length === 0 && resumeTokenIndex === 0;
  }

  private estimateRemainingStagesMs(quantile: number): number {
    const { estimates } = this.options;
    return estimates
      .stagesLeftMs(this.context.plan, this.action.stage.index, quantile)
      .reduce((sum, ms) => sum + ms, 0);
  }

  private timeToDeadlineMs(): number {
    return this.context.plan.deadlineAtMs - this.options.clock.monotonicMs();
  }

  /** Sends the attempt or gives it up; returns false while it has to wait. */
  private tryStart(): boolean {
    if (this.timeToDeadlineMs() < this.estimateRemainingStagesMs(TYPICAL_QUANTILE) * MIN_QUEUE_TIME_RATIO) {
      this.waitingAttempt = undefined;
      this.finish({ type: 'queue-timeout' }, false);
      return true;
    }
    const choice = this.choose(this.action.avoidServers);
    if (choice?.type !== 'send' || (choice.crossRegion && !this.spendBytes())) {
      return false;
    }
    this.waitingAttempt = undefined;
    this.send(choice.server, this.timeToDeadlineMs());
    return true;
  }

  private choose(avoidServers: readonly string[]): Choice | undefined {
    const { clock, directory, estimates, failureDomain, region } = this.options;
    const { stage } = this.action;
    const pool = directory.viewPool(stage.pool);
    const hasRemote = pool.servers.some((server) => server.region !== region);
    const stagesMs = estimates.stagesLeftMs(this.context.plan, stage.index, DEADLINE_SHARE_QUANTILE);
    return chooseServer(
      pool,
      {
        tokens: this.tokens,
        prefillTokens: this.options.prefixes.prefillTokens(this.context.plan, stage),
        long: this.longOutput,
        remainingMs: shareDeadline(this.timeToDeadlineMs(), stagesMs),
        avoidServers,
        suspectedDomains: this.options.domains.suspected(clock.monotonicMs()),
        failureDomain,
        region,
        crossRegionAllowed: hasRemote && this.canSpendBytes(),
        savedTokens: this.options.prefixes.savedTokens(this.context.plan, stage),
        localOverloaded: this.options.isOverloaded(),
        nowMs: clock.monotonicMs(),
      },
      this.options.random,
    );
  }

  private estimateBytes(): MessageBytes {
    return estimateBytes(this.action, this.context, this.tokens);
  }

  private canSpendBytes(): boolean {
    const budgets = this.options.findBudgets(this.context.plan.service);
    if (budgets?.crossRegionAllowed !== true) {
      return false;
    }
    return budgets.bytes.hasRoom(this.estimateBytes(), this.options.clock.monotonicMs());
  }

  private spendBytes(): boolean {
    const budgets = this.options.findBudgets(this.context.plan.service);
    return budgets?.bytes.take(this.estimateBytes(), this.options.clock.monotonicMs()) ?? false;
  }

  private send(server: ServerView, timeoutMs: number): void {
    const { clock, tracer, http } = this.options;
    this.span = tracer.startSpan(`stage ${this.action.stage.name}`, this.context.requestTraceparent);
    this.span.setAttribute('attemptId', this.action.attemptId);
    this.span.setAttribute('serverId', server.serverId);
    if (this.action.stage.kind === 'generate') {
      this.options.prefixes.noteSent(this.context.plan, server.serverId);
    }
    this.monitor = this.createMonitor(server);
    this.monitor.sent();
    this.lastResponseAtMs = clock.monotonicMs();
    const { traceparent } = this.span;
    // A host whose process was paused while it connected must not send after the deadline.
    const maySend = (): boolean => clock.monotonicMs() < this.context.plan.deadlineAtMs;
    const call = toServerCall(this.action, this.context, server, { timeoutMs, traceparent, maySend });
    this.scheduleCheck(server);
    this.call = callServer(http, call).subscribe((event) => this.handleEvent(server, event));
  }

  private createMonitor(server: ServerView): AttemptMonitor {
    const { plan } = this.context;
    return createAttemptMonitor({
      ...this.options,
      plan,
      stage: this.action.stage,
      serverId: server.serverId,
      tokens: this.tokens,
      resumeTokenIndex: this.action.resumeTokenIndex,
      long: this.longOutput,
      hedgeQuantile: this.options.findDocument(plan.service)?.hedge.quantile ?? DEFAULT_HEDGE_QUANTILE,
    });
  }

  private scheduleCheck(server: ServerView): void {
    this.timer = this.options.clock.schedule(PROGRESS_CHECK_INTERVAL_MS, () => {
      this.checkProgress(server);
      if (this.monitor !== undefined) {
        this.scheduleCheck(server);
      }
    });
  }

  private checkProgress(server: ServerView): void {
    const verdict = this.monitor?.check() ?? 'none';
    if (verdict === 'none' || this.hedged) {
      return;
    }
    this.recordSilence(server);
    const alternative = this.choose([...this.action.avoidServers, server.serverId]);
    const hasAlternative = alternative?.type === 'send' && alternative.server.serverId !== server.serverId;
    const budgets = this.options.findBudgets(this.context.plan.service);
    // A silent server may be unreachable, so the retry budget pays for the second attempt once the hedge budget is spent.
    if (!hasAlternative || (budgets?.hedges.spend() !== true && budgets?.retries.spend() !== true)) {
      return;
    }
    this.hedged = true;
    if (verdict === 'hedge') {
      this.subscriber.next({ type: 'hedge-due' });
      return;
    }
    // Generation is repeatable, so another server resumes the stream at its next token.
    this.call?.unsubscribe();
    this.finish({ type: 'stalled' }, true);
  }

  private handleEvent(server: ServerView, event: ServerEvent): void {
    switch (event.type) {
      case 'sending':
        this.subscriber.next({ type: 'sent', serverId: server.serverId });
        break;
      case 'tokens':
        this.recordResponse(server);
        this.monitor?.tokensArrived(event.tokens.length);
        this.subscriber.next(event);
        break;
      case 'answer':
        this.recordResponse(server);
        this.monitor?.answered();
        this.endSpan();
        this.release();
        this.subscriber.next({ type: 'answered', output: event.output });
        this.subscriber.complete();
        break;
      case 'failure':
        this.handleFailure(server, event);
        break;
      default:
        exhaustive(event);
    }
  }

  private recordResponse(server: ServerView): void {
    this.lastResponseAtMs = this.options.clock.monotonicMs();
    this.options.domains.noteHeard(server.failureDomain, this.lastResponseAtMs);
  }

  private recordSilence(server: ServerView): void {
    const nowMs = this.options.clock.monotonicMs();
    if (nowMs - this.lastResponseAtMs >= SERVER_SILENCE_MS) {
      this.options.domains.noteSilent(server.failureDomain, { sinceMs: this.lastResponseAtMs, nowMs });
    }
  }

  private handleFailure(server: ServerView, event: Extract<ServerEvent, { type: 'failure' }>): void {
    const { directory, findBudgets } = this.options;
    const { failure } = event;
    const leaving = failure.type === 'refused' && failure.leaving;
    // A call that must not be repeated is sent only if the server agrees in time, so `not-sent` may mean a silent server.
    if (failure.type === 'not-sent') {
      this.recordSilence(server);
    }
    if (leaving) {
      directory.noteLeaving(server.serverId);
    } else if (failure.type !== 'failed' && this.timeToDeadlineMs() > 0) {
      directory.note(server.serverId, { type: 'failed' });
    }
    // A leaving server is a planned shutdown; the retry that it causes does not count against the budget.
    const retryAllowed = leaving || findBudgets(this.context.plan.service)?.retries.spend() === true;
    this.finish(failure, retryAllowed);
  }

  private finish(failure: AttemptFailure, retryAllowed: boolean): void {
    this.endSpan(failure.type);
    this.release();
    this.subscriber.next({ type: 'failed', failure, retryAllowed });
    this.subscriber.complete();
  }

  private endSpan(error?: string): void {
    this.span?.end(error);
    this.span = undefined;
  }

  private release(): void {
    this.timer?.close();
    if (this.monitor !== undefined) {
      this.monitor.closed();
      this.monitor = undefined;
      this.options.queues.drain(this.action.stage.pool);
    }
  }
}

/**
 * Creates the dispatcher of attempts.
 *
 * @param options - directory, transport, budgets and the failure domain and region of this host
 * @returns a function that starts an attempt when subscribed and cancels it when unsubscribed
 */
export default function createDispatcher(options: DispatcherOptions): Dispatcher {
  return (action, context) =>
    new Observable((subscriber) => {
      const run = new AttemptRun(options, action, context, subscriber);
      run.start();
      return () => run.close();
    });
}
