import { ReplaySubject } from 'rxjs';
import type { Clock, Timer } from '@bergamotcove/clock';
import {
  advanceRequest,
  createRequestState,
  type AttemptFailure,
  type ClaimDecision,
  type RequestAction,
  type RequestEvent,
  type RequestPlan,
  type RequestResult,
} from '@bergamotcove/decide';
import { exhaustive } from '@bergamotcove/errors';
import type { Observable, Subscription } from 'rxjs';
import type { RequestRun, RunEvent } from './types.js';

/** Event of an attempt. */
export type AttemptEvent =
  | { readonly type: 'sent'; readonly serverId: string }
  | { readonly type: 'tokens'; readonly firstTokenIndex: number; readonly tokens: readonly string[] }
  | { readonly type: 'answered'; readonly output: unknown }
  /** The attempt is slow and the hedge or retry budget pays for a second one. */
  | { readonly type: 'hedge-due' }
  | { readonly type: 'failed'; readonly failure: AttemptFailure; readonly retryAllowed: boolean };

/** The action that starts an attempt. */
export type DispatchAction = Extract<RequestAction, { type: 'dispatch' }>;

/** Side effects that carry out the actions of a request. */
export interface RunPorts {
  readonly clock: Clock;
  readonly dispatch: (action: DispatchAction) => Observable<AttemptEvent>;
  /** Claims the idempotency key; `onContended` is called when another request holds it. */
  readonly claim: (onContended: () => void) => Promise<ClaimDecision>;
  readonly record: (result: RequestResult) => Promise<void>;
}

const toRequestEvent = (attemptId: string, event: AttemptEvent): RequestEvent => {
  switch (event.type) {
    case 'sent':
      return { type: 'attempt-sent', attemptId, serverId: event.serverId };
    case 'tokens':
      return { type: 'tokens-arrived', attemptId, firstTokenIndex: event.firstTokenIndex, tokens: event.tokens };
    case 'answered':
      return { type: 'attempt-answered', attemptId, output: event.output };
    case 'hedge-due':
      return { type: 'hedge-due', attemptId };
    case 'failed':
      return { type: 'attempt-failed', attemptId, failure: event.failure, retryAllowed: event.retryAllowed };
    default:
      return exhaustive(event);
  }
};

/** Interpreter of the request reducer: performs its actions and feeds their events back to it. */
class Interpreter {
  private state;

  private readonly subject = new ReplaySubject<RunEvent>();

  private readonly attempts = new Map<string, Subscription>();

  private readonly deadlineTimer: Timer;

  private nextEventId = 1;

  constructor(
    plan: RequestPlan,
    private readonly ports: RunPorts,
    private readonly onResult: (result: RequestResult) => void,
  ) {
    this.state = createRequestState(plan);
    this.deadlineTimer = ports.clock.schedule(plan.deadlineAtMs - ports.clock.monotonicMs(), () =>
      this.handle({ type: 'deadline-passed' }),
    );
  }

  get events(): Observable<RunEvent> {
    return this.subject.asObservable();
  }

  handle(event: RequestEvent): void {
    const step = advanceRequest(this.state, event, this.ports.clock.monotonicMs());
    this.state = step.state;
    step.actions.forEach((action) => this.perform(action));
  }

  private perform(action: RequestAction): void {
    switch (action.type) {
      case 'claim':
        this.ports
          .claim(() => this.handle({ type: 'claim-contended' }))
          .then((decision) => this.handle({ type: 'claim-decided', decision }));
        break;
      case 'release':
        this.ports.record(action.result).catch(() => undefined);
        break;
      case 'dispatch':
        this.dispatch(action);
        break;
      case 'cancel':
        this.attempts.get(action.attemptId)?.unsubscribe();
        this.attempts.delete(action.attemptId);
        break;
      case 'emit-tokens':
        action.tokens.forEach((text, offset) => this.emitToken(action.firstTokenIndex + offset, text));
        break;
      case 'record':
        this.ports.record(action.result).then(() => this.handle({ type: 'recorded' }));
        break;
      case 'finish':
        this.finish(action.result);
        break;
      default:
        exhaustive(action);
    }
  }

  private dispatch(action: DispatchAction): void {
    const subscription = this.ports
      .dispatch(action)
      .subscribe((event) => this.handle(toRequestEvent(action.attemptId, event)));
    if (!subscription.closed) {
      this.attempts.set(action.attemptId, subscription);
    }
  }

  private emitToken(tokenIndex: number, text: string): void {
    this.subject.next({ type: 'token', eventId: this.takeEventId(), tokenIndex, text });
  }

  private takeEventId(): number {
    this.nextEventId += 1;
    return this.nextEventId - 1;
  }

  private finish(result: RequestResult): void {
    this.deadlineTimer.close();
    this.subject.next({ type: 'final', eventId: this.takeEventId(), result });
    this.subject.complete();
    this.onResult(result);
  }
}

/**
 * Starts a request.
 *
 * @param plan - stages and deadline
 * @param ports - side effects for attempts, claims and records; `claim` and `record` must not reject
 * @returns the run
 * @example
 * const run = startRun(plan, ports);
 * const result = await run.result;
 */
export default function startRun(plan: RequestPlan, ports: RunPorts): RequestRun {
  let resolveResult: (result: RequestResult) => void = () => undefined;
  const result = new Promise<RequestResult>((resolve) => {
    resolveResult = resolve;
  });
  const interpreter = new Interpreter(plan, ports, resolveResult);
  interpreter.handle({ type: 'started' });
  return { plan, events: interpreter.events, result };
}
