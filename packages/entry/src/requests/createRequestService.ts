import { createHash, randomUUID } from 'node:crypto';
import { of } from 'rxjs';
import type { Clock } from '@bergamotcove/clock';
import type { AcceptedDocument } from '@bergamotcove/config';
import { planRequest, type RequestPlan, type RequestResult } from '@bergamotcove/decide';
import type { Span, Tracer } from '@bergamotcove/telemetry';
import CallerError from '../callers/CallerError.js';
import type { CallerRequest } from '../callers/types.js';
import type { ClaimBook, ClaimRequest } from '../claims/types.js';
import type { ConfigHolder } from '../config/createConfigHolder.js';
import type { Dispatcher } from './createDispatcher.js';
import startRun from './startRun.js';
import type { RequestRun } from './types.js';

/** Options of {@link createRequestService}. */
export interface RequestServiceOptions {
  readonly clock: Clock;
  readonly config: ConfigHolder;
  readonly claims: ClaimBook;
  readonly dispatch: Dispatcher;
  readonly tracer: Tracer;
  readonly onFinished: (plan: RequestPlan, result: RequestResult, durationMs: number) => void;
}

/** Runs callers' requests. */
export interface RequestService {
  /** Starts a request, or joins the one that already runs under the same key. */
  submit(request: CallerRequest): Promise<RequestRun>;
  inFlight(): number;
  /** Resolves when no request is in flight. */
  idle(): Promise<void>;
}

const STATUS_NOT_FOUND = 404;
const STATUS_BAD_REQUEST = 400;
const STATUS_CONFLICT = 409;
const STATUS_UNPROCESSABLE = 422;
const STATUS_UNAVAILABLE = 503;
const KEPT_RUN_MS = 60_000;
const IDLE_POLL_MS = 20;

interface KeyedRun {
  readonly run: RequestRun;
  readonly bodyHash: string;
}

const hashBody = (request: CallerRequest): string =>
  createHash('sha256')
    .update(JSON.stringify([request.operation, request.input]))
    .digest('base64url');

const formatRunKey = (request: CallerRequest): string =>
  JSON.stringify([request.organisation, request.service, request.idempotencyKey]);

const rejectWith = (
  code: 'wrong-input' | 'not-found' | 'conflict' | 'not-ready',
  status: number,
  title: string,
  extra: { readonly outcome?: 'not-run' | 'unknown'; readonly retryAfterMs?: number } = {},
): CallerError => new CallerError(code, { type: 'about:blank', title, status, outcome: 'not-run', ...extra });

const rejectOtherBody = (): CallerError =>
  rejectWith('conflict', STATUS_UNPROCESSABLE, 'the Idempotency-Key was used with another body');

/** Builds a run that replays a recorded result. */
const toFinishedRun = (plan: RequestPlan, result: RequestResult): RequestRun => ({
  plan,
  events: of({ type: 'final', eventId: 1, result }),
  result: Promise.resolve(result),
});

class Service implements RequestService {
  private readonly runs = new Map<string, KeyedRun>();

  private inFlightCount = 0;

  constructor(private readonly options: RequestServiceOptions) {}

  inFlight(): number {
    return this.inFlightCount;
  }

  idle(): Promise<void> {
    return new Promise((resolve) => {
      const poll = (): void => {
        if (this.inFlightCount === 0) {
          resolve();
        } else {
          this.options.clock.schedule(IDLE_POLL_MS, poll);
        }
      };
      poll();
    });
  }

  async submit(request: CallerRequest): Promise<RequestRun> {
    const accepted = this.findDocument(request);
    const plan = this.plan(accepted, request);
    if (request.idempotencyKey === undefined) {
      return this.run(plan, request, undefined);
    }
    const joined = this.join(request);
    if (joined !== undefined) {
      return joined;
    }
    if (plan.operation.idempotent) {
      return this.run(plan, request, undefined);
    }
    return this.submitOnce(plan, request, request.idempotencyKey);
  }

  private findDocument(request: CallerRequest): AcceptedDocument {
    const accepted = this.options.config.get(request.service);
    if (accepted === undefined) {
      throw rejectWith('not-found', STATUS_NOT_FOUND, `no service "${request.service}" is in force`);
    }
    return accepted;
  }

  private plan(accepted: AcceptedDocument, request: CallerRequest): RequestPlan {
    const { document } = accepted;
    const operation = document.operations.find((candidate) => candidate.name === request.operation);
    if (operation === undefined) {
      const names = document.operations.map((candidate) => candidate.name).join(', ');
      throw rejectWith('wrong-input', STATUS_BAD_REQUEST, `operation: expected one of ${names}`);
    }
    if (!operation.idempotent && request.idempotencyKey === undefined) {
      throw rejectWith('wrong-input', STATUS_BAD_REQUEST, 'this operation requires an Idempotency-Key header');
    }
    const deadlineMs = Math.min(request.deadlineMs ?? document.deadlineMs, document.deadlineMs);
    return planRequest(document, {
      requestId: randomUUID(),
      organisation: request.organisation,
      operation,
      deadlineAtMs: this.options.clock.monotonicMs() + deadlineMs,
    });
  }

  private join(request: CallerRequest): RequestRun | undefined {
    const keyed = this.runs.get(formatRunKey(request));
    if (keyed !== undefined && keyed.bodyHash !== hashBody(request)) {
      throw rejectOtherBody();
    }
    return keyed?.run;
  }

  private async submitOnce(plan: RequestPlan, request: CallerRequest, idempotencyKey: string): Promise<RequestRun> {
    const claim: ClaimRequest = {
      organisation: request.organisation,
      service: request.service,
      idempotencyKey,
      bodyHash: hashBody(request),
      requestId: plan.requestId,
      deadlineAtMs: plan.deadlineAtMs,
    };
    const found = await this.options.claims.lookUp(claim);
    switch (found.type) {
      case 'other-body':
        throw rejectOtherBody();
      case 'finished':
        return toFinishedRun(plan, found.result);
      case 'claimed':
        throw rejectWith('conflict', STATUS_CONFLICT, 'the first request under this key has no outcome', {
          outcome: 'unknown',
        });
      case 'unavailable':
        throw rejectWith('not-ready', STATUS_UNAVAILABLE, 'the configuration store does not answer', {
          retryAfterMs: found.retryAfterMs,
        });
      default:
        return this.join(request) ?? this.run(plan, request, claim);
    }
  }

  private run(plan: RequestPlan, request: CallerRequest, claim: ClaimRequest | undefined): RequestRun {
    const { clock, tracer, claims } = this.options;
    const startedAtMs = clock.monotonicMs();
    const span = tracer.startSpan(`request ${plan.service}/${plan.operation.name}`, request.traceparent);
    span.setAttribute('requestId', plan.requestId);
    this.inFlightCount += 1;
    const run = startRun(plan, {
      clock,
      dispatch: (action) =>
        this.options.dispatch(action, {
          plan,
          requestTraceparent: span.traceparent,
          callerInput: request.input,
          ...(request.idempotencyKey === undefined ? {} : { idempotencyKey: request.idempotencyKey }),
        }),
      claim: () => (claim === undefined ? Promise.resolve({ type: 'granted' }) : claims.claim(claim)),
      record: (result) =>
        claim === undefined ? Promise.resolve() : claims.record(claim, result).catch(() => undefined),
    });
    this.keep(request, run);
    run.result.then((result) => this.finish(plan, result, span, clock.monotonicMs() - startedAtMs));
    return run;
  }

  private keep(request: CallerRequest, run: RequestRun): void {
    if (request.idempotencyKey === undefined) {
      return;
    }
    const key = formatRunKey(request);
    this.runs.set(key, { run, bodyHash: hashBody(request) });
    run.result.then(() => this.options.clock.schedule(KEPT_RUN_MS, () => this.runs.delete(key)));
  }

  private finish(plan: RequestPlan, result: RequestResult, span: Span, durationMs: number): void {
    this.inFlightCount -= 1;
    span.end(result.type === 'refused' ? result.reason : undefined);
    this.options.onFinished(plan, result, durationMs);
  }
}

/**
 * Creates the service that runs callers' requests on this host.
 *
 * @param options - configuration, claims and dispatcher
 * @returns the service
 */
export default function createRequestService(options: RequestServiceOptions): RequestService {
  return new Service(options);
}
