import { Observable, type Subscriber, type Subscription } from 'rxjs';
import type { Clock, Timer } from '@bergamotcove/clock';
import { chooseServer, type Random, type RequestPlan, type ServerView } from '@bergamotcove/decide';
import { exhaustive } from '@bergamotcove/errors';
import { callServer, type ServerCall, type ServerEvent } from '@bergamotcove/platform';
import type { Span, Tracer } from '@bergamotcove/telemetry';
import type { HttpClient } from '@bergamotcove/transport';
import type { ServerDirectory } from '../servers/createServerDirectory.js';
import type { AttemptEvent, DispatchAction } from './startRun.js';

/** Options of {@link createDispatcher}. */
export interface DispatcherOptions {
  readonly clock: Clock;
  readonly directory: ServerDirectory;
  readonly http: HttpClient;
  readonly tracer: Tracer;
  readonly random: Random;
  readonly failureDomain: string;
  readonly region: string;
}

/** Facts of the request that its attempts carry. */
export interface DispatchContext {
  readonly plan: RequestPlan;
  readonly requestTraceparent: string;
  /** The caller's input; every stage gets it together with the outputs of the stages before. */
  readonly callerInput: unknown;
  readonly idempotencyKey?: string;
}

/** Sends attempts to backend servers. */
export type Dispatcher = (action: DispatchAction, context: DispatchContext) => Observable<AttemptEvent>;

const POLL_FOR_SERVER_MS = 20;

const toCall = (
  action: DispatchAction,
  context: DispatchContext,
  server: ServerView,
  options: { readonly timeoutMs: number; readonly traceparent: string; readonly maySend: () => boolean },
): ServerCall => ({
  target: { address: server.address, port: server.port },
  kind: action.stage.kind,
  attemptId: action.attemptId,
  requestId: context.plan.requestId,
  organisation: context.plan.organisation,
  operation: context.plan.operation.name,
  input: { request: context.callerInput, outputs: action.input },
  ...(action.stage.model === undefined ? {} : { model: action.stage.model }),
  ...(action.stage.effect === 'once' && context.idempotencyKey !== undefined
    ? { idempotencyKey: context.idempotencyKey }
    : {}),
  timeoutMs: options.timeoutMs,
  traceparent: options.traceparent,
  resumeTokenIndex: action.resumeTokenIndex,
  priority: context.plan.operation.priority,
  maySend: options.maySend,
});

/** One attempt: waits for a server, sends the call and reports what happens. */
class AttemptRun {
  private timer: Timer | undefined;

  private call: Subscription | undefined;

  private span: Span | undefined;

  private server: ServerView | undefined;

  constructor(
    private readonly options: DispatcherOptions,
    private readonly action: DispatchAction,
    private readonly context: DispatchContext,
    private readonly subscriber: Subscriber<AttemptEvent>,
  ) {}

  start(): void {
    const { clock, directory } = this.options;
    const remainingMs = this.context.plan.deadlineAtMs - clock.monotonicMs();
    const choice = chooseServer(
      directory.viewPool(this.action.stage.pool),
      {
        tokens: this.estimateTokens(),
        long: this.isLong(),
        remainingMs,
        avoidServers: this.action.avoidServers,
        failureDomain: this.options.failureDomain,
        region: this.options.region,
        crossRegionAllowed: true,
        nowMs: clock.monotonicMs(),
      },
      this.options.random,
    );
    if (choice?.type !== 'send') {
      this.timer = clock.schedule(POLL_FOR_SERVER_MS, () => this.start());
      return;
    }
    this.send(choice.server, remainingMs);
  }

  close(): void {
    this.timer?.close();
    this.call?.unsubscribe();
    this.endSpan('cancelled');
    this.release();
  }

  private estimateTokens(): number {
    const { operation } = this.context.plan;
    return this.action.stage.kind === 'generate' ? operation.expectedOutputTokens : 1;
  }

  private isLong(): boolean {
    const { operation } = this.context.plan;
    return this.action.stage.kind === 'generate' && operation.expectedOutputTokens >= operation.longOutputTokens;
  }

  private send(server: ServerView, timeoutMs: number): void {
    this.server = server;
    this.span = this.options.tracer.startSpan(`stage ${this.action.stage.name}`, this.context.requestTraceparent);
    this.span.setAttribute('attemptId', this.action.attemptId);
    this.span.setAttribute('serverId', server.serverId);
    this.options.directory.note(server.serverId, {
      type: 'sent',
      tokens: this.estimateTokens(),
      long: this.isLong(),
    });
    const { traceparent } = this.span;
    // A host that was paused while it connected must not send after the deadline.
    const maySend = (): boolean => this.options.clock.monotonicMs() < this.context.plan.deadlineAtMs;
    const call = toCall(this.action, this.context, server, { timeoutMs, traceparent, maySend });
    this.call = callServer(this.options.http, call).subscribe((event) => this.handle(server, event));
  }

  private handle(server: ServerView, event: ServerEvent): void {
    switch (event.type) {
      case 'sending':
        this.subscriber.next({ type: 'sent', serverId: server.serverId });
        break;
      case 'tokens':
        this.subscriber.next(event);
        break;
      case 'answer':
        this.endSpan();
        this.release();
        this.subscriber.next({ type: 'answered', output: event.output });
        this.subscriber.complete();
        break;
      case 'failure':
        this.fail(server, event);
        break;
      default:
        exhaustive(event);
    }
  }

  private fail(server: ServerView, event: Extract<ServerEvent, { type: 'failure' }>): void {
    if (event.failure.type === 'refused' && event.failure.leaving) {
      this.options.directory.noteLeaving(server.serverId);
    }
    this.endSpan(event.failure.type);
    this.release();
    this.subscriber.next({ type: 'failed', failure: event.failure, retryAllowed: true });
    this.subscriber.complete();
  }

  private endSpan(error?: string): void {
    this.span?.end(error);
    this.span = undefined;
  }

  private release(): void {
    if (this.server !== undefined) {
      this.options.directory.note(this.server.serverId, {
        type: 'done',
        tokensLeft: this.estimateTokens(),
        long: this.isLong(),
      });
      this.server = undefined;
    }
  }
}

/**
 * Creates the dispatcher of attempts.
 *
 * @param options - directory, transport and this host's place
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
