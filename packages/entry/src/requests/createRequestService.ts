import { createHash, randomUUID } from 'node:crypto';
import { of } from 'rxjs';
import type { Clock } from '@bergamotcove/clock';
import type { AcceptedDocument, ServiceDocument } from '@bergamotcove/config';
import { planRequest, type Outcome, type RequestPlan, type RequestResult } from '@bergamotcove/decide';
import type { Span, Tracer } from '@bergamotcove/telemetry';
import type { GateDecision } from '../admission/createAdmissionGate.js';
import CallerError from '../callers/CallerError.js';
import type { CallerRequest } from '../callers/types.js';
import type { ClaimRegistry, ClaimRequest } from '../claims/types.js';
import type { ConfigHolder } from '../config/createConfigHolder.js';
import { formatFingerprint, type PoisonGuard } from '../poison/createPoisonGuard.js';
import type { Dispatcher } from './createDispatcher.js';
import createKeyedRuns, { type KeyedRuns } from './createKeyedRuns.js';
import type { StatusQuery } from './createStatusQuery.js';
import startRun from './startRun.js';
import type { RequestRun } from './types.js';

/** Options of {@link createRequestService}. */
export interface RequestServiceOptions {
  readonly clock: Clock;
  readonly config: ConfigHolder;
  readonly claims: ClaimRegistry;
  readonly dispatch: Dispatcher;
  readonly tracer: Tracer;
  /** Resolves when the request may start or is refused; nothing has run until then. */
  readonly admit: (plan: RequestPlan, document: ServiceDocument) => Promise<GateDecision>;
  readonly queryStatus: StatusQuery;
  readonly poison: PoisonGuard;
  readonly onFinished: (plan: RequestPlan, result: RequestResult, durationMs: number) => void;
}

/** Runs callers' requests. */
export interface RequestService {
  /**
   * Starts a request, or joins the one that already runs under the same key.
   *
   * @throws CallerError when the request is rejected before it starts
   */
  submit(request: CallerRequest): Promise<RequestRun>;
  inFlight(): number;
  /** Resolves when no request is in flight. */
  idle(): Promise<void>;
  /** Stops the timers that expire finished runs. */
  close(): void;
}

const STATUS_NOT_FOUND = 404;
const STATUS_BAD_REQUEST = 400;
const STATUS_CONFLICT = 409;
const STATUS_UNPROCESSABLE = 422;
const IDLE_POLL_INTERVAL_MS = 20;

const hashBody = (request: CallerRequest): string =>
  createHash('sha256')
    .update(JSON.stringify([request.operation, request.input]))
    .digest('base64url');

const formatRunKey = (request: CallerRequest): string =>
  JSON.stringify([request.organisation, request.service, request.idempotencyKey]);

const createCallerError = (
  code: 'wrong-input' | 'not-found' | 'conflict' | 'not-ready',
  status: number,
  title: string,
  outcome: Outcome = 'not-run',
): CallerError => new CallerError(code, { type: 'about:blank', title, status, outcome });

const createKeyReusedError = (): CallerError =>
  createCallerError('conflict', STATUS_UNPROCESSABLE, 'the Idempotency-Key was used with another body');

const STATUS_BY_REFUSAL = { 'over-limit': 429, 'deadline-passed': 503 } as const;

const createOverloadError = (
  { reason, retryAfterMs }: Extract<GateDecision, { type: 'refused' }>,
  earlierMayHaveRun: boolean,
): CallerError =>
  new CallerError('not-ready', {
    type: 'about:blank',
    title: reason,
    status: STATUS_BY_REFUSAL[reason],
    outcome: earlierMayHaveRun ? 'unknown' : 'not-run',
    retryAfterMs,
  });

/**
 * Refuses to resume a stream that this host did not start. Events are numbered by the host that runs the request; another
 * host cannot continue the numbers, and its tokens could differ. Callers of this function check for a known result first.
 */
const rejectStreamResume = (request: CallerRequest, outcome: Outcome): void => {
  if (request.lastEventId !== undefined) {
    throw createCallerError(
      'conflict',
      STATUS_CONFLICT,
      'this host does not have the stream; send the request without it',
      outcome,
    );
  }
};

/** Builds a run that replays a recorded result; its only event has the number after the last one that the caller has. */
const toFinishedRun = (plan: RequestPlan, result: RequestResult, request: CallerRequest): RequestRun => ({
  plan,
  events: of({ type: 'final', eventId: (request.lastEventId ?? 0) + 1, result }),
  result: Promise.resolve(result),
});

/** Result of an earlier request under the same key, or whether such a request may have run. */
type EarlierResult =
  { readonly type: 'known'; readonly run: RequestRun } | { readonly type: 'none'; readonly earlierMayHaveRun: boolean };

class Service implements RequestService {
  private readonly runs: KeyedRuns;

  private inFlightCount = 0;

  constructor(private readonly options: RequestServiceOptions) {
    this.runs = createKeyedRuns(options.clock);
  }

  inFlight(): number {
    return this.inFlightCount;
  }

  close(): void {
    this.runs.close();
  }

  idle(): Promise<void> {
    return new Promise((resolve) => {
      const poll = (): void => {
        if (this.inFlightCount === 0) {
          resolve();
        } else {
          this.options.clock.schedule(IDLE_POLL_INTERVAL_MS, poll);
        }
      };
      poll();
    });
  }

  async submit(request: CallerRequest): Promise<RequestRun> {
    const accepted = this.findDocument(request);
    const plan = this.createPlan(accepted, request);
    if (request.idempotencyKey === undefined) {
      rejectStreamResume(request, 'not-run');
      await this.admit(plan, accepted.document);
      return this.run(plan, request, undefined);
    }
    const joined = this.joinRun(request);
    if (joined !== undefined) {
      return joined;
    }
    if (plan.operation.idempotent) {
      rejectStreamResume(request, 'not-run');
      await this.admit(plan, accepted.document);
      return this.joinRun(request) ?? this.run(plan, request, undefined);
    }
    return this.submitOnce(plan, request, request.idempotencyKey);
  }

  private async admit(plan: RequestPlan, document: ServiceDocument): Promise<void> {
    this.inFlightCount += 1;
    try {
      const decision = await this.options.admit(plan, document);
      if (decision.type === 'refused') {
        throw createOverloadError(decision, plan.earlierMayHaveRun === true);
      }
    } finally {
      this.inFlightCount -= 1;
    }
  }

  private findDocument(request: CallerRequest): AcceptedDocument {
    const accepted = this.options.config.get(request.service);
    if (accepted === undefined) {
      throw createCallerError('not-found', STATUS_NOT_FOUND, `no service "${request.service}" is in force`);
    }
    return accepted;
  }

  private createPlan(accepted: AcceptedDocument, request: CallerRequest): RequestPlan {
    const { document } = accepted;
    const operation = document.operations.find((candidate) => candidate.name === request.operation);
    if (operation === undefined) {
      const names = document.operations.map((candidate) => candidate.name).join(', ');
      throw createCallerError('wrong-input', STATUS_BAD_REQUEST, `operation: expected one of ${names}`);
    }
    if (!operation.idempotent && request.idempotencyKey === undefined) {
      throw createCallerError('wrong-input', STATUS_BAD_REQUEST, 'this operation requires an Idempotency-Key header');
    }
    const deadlineMs = Math.min(request.deadlineMs ?? document.deadlineMs, document.deadlineMs);
    return planRequest(document, {
      requestId: randomUUID(),
      organisation: request.organisation,
      operation,
      deadlineAtMs: this.options.clock.monotonicMs() + deadlineMs,
    });
  }

  private joinRun(request: CallerRequest): RequestRun | undefined {
    const keyed = this.runs.find(formatRunKey(request));
    if (keyed !== undefined && keyed.bodyHash !== hashBody(request)) {
      throw createKeyReusedError();
    }
    return keyed?.run;
  }

  private buildClaimRequest(plan: RequestPlan, request: CallerRequest, idempotencyKey: string): ClaimRequest {
    const once = plan.stages.find((stage) => stage.effect === 'once');
    return {
      organisation: request.organisation,
      service: request.service,
      idempotencyKey,
      bodyHash: hashBody(request),
      requestId: plan.requestId,
      deadlineAtMs: plan.deadlineAtMs,
      maxDurationMs: this.findDocument(request).document.deadlineMs,
      serversCheckKeys: once?.serversCheckKeys === true,
      ...(once?.statusQuery === true ? { queryStatus: () => this.options.queryStatus(plan, idempotencyKey) } : {}),
    };
  }

  private async submitOnce(plan: RequestPlan, request: CallerRequest, idempotencyKey: string): Promise<RequestRun> {
    const claim = this.buildClaimRequest(plan, request, idempotencyKey);
    this.inFlightCount += 1;
    try {
      const earlier = await this.findEarlierResult(plan, request, claim);
      if (earlier.type === 'known') {
        return earlier.run;
      }
      const { earlierMayHaveRun } = earlier;
      await this.admit({ ...plan, earlierMayHaveRun }, this.findDocument(request).document);
      return this.startOnce({ ...plan, earlierMayHaveRun }, request, claim);
    } finally {
      this.inFlightCount -= 1;
    }
  }

  /** Looks up the result of an earlier request under the same key. */
  private async findEarlierResult(
    plan: RequestPlan,
    request: CallerRequest,
    claim: ClaimRequest,
  ): Promise<EarlierResult> {
    const found = await this.options.claims.lookUp(claim);
    if (found.type === 'other-body') {
      throw createKeyReusedError();
    }
    if (found.type === 'finished') {
      return { type: 'known', run: toFinishedRun(plan, found.result, request) };
    }
    // The host of the stream may not have claimed the key yet, and may still run the request.
    const isResumed = request.lastEventId !== undefined;
    if (found.type === 'claimed') {
      const awaited = await this.options.claims.awaitOutcome(claim);
      return awaited.type === 'settled'
        ? { type: 'known', run: toFinishedRun(plan, awaited.result, request) }
        : { type: 'none', earlierMayHaveRun: isResumed || awaited.type === 'server-decides' };
    }
    // While the store is unavailable, the repeatable stages run and the claim waits, at most until the deadline.
    return { type: 'none', earlierMayHaveRun: isResumed || found.type === 'unavailable' };
  }

  private startOnce(plan: RequestPlan, request: CallerRequest, claim: ClaimRequest): RequestRun {
    const joined = this.joinRun(request);
    if (joined !== undefined) {
      return joined;
    }
    rejectStreamResume(request, plan.earlierMayHaveRun === true ? 'unknown' : 'not-run');
    return this.run(plan, request, claim);
  }

  private run(plan: RequestPlan, request: CallerRequest, claim: ClaimRequest | undefined): RequestRun {
    const { clock, tracer, claims } = this.options;
    const startedAtMs = clock.monotonicMs();
    const span = tracer.startSpan(`request ${plan.service}/${plan.operation.name}`, request.traceparent);
    span.setAttribute('requestId', plan.requestId);
    this.inFlightCount += 1;
    const { deadlineAtMs } = plan;
    const fingerprint = formatFingerprint(request);
    const context = {
      plan,
      requestTraceparent: span.traceparent,
      callerInput: request.input,
      ...(request.idempotencyKey === undefined ? {} : { idempotencyKey: request.idempotencyKey }),
    };
    const run = startRun(plan, {
      clock,
      dispatch: (action) =>
        this.options.poison.watch({ fingerprint, pool: action.stage.pool, deadlineAtMs }, () =>
          this.options.dispatch(action, context),
        ),
      claim: (onContended) =>
        claim === undefined ? Promise.resolve({ type: 'granted' }) : claims.claim(claim, onContended),
      record: (result) => (claim === undefined ? Promise.resolve() : claims.record(claim, result)),
    });
    if (request.idempotencyKey !== undefined) {
      this.runs.add(formatRunKey(request), { run, bodyHash: hashBody(request) });
    }
    run.result.then((result) => this.finish(plan, result, span, clock.monotonicMs() - startedAtMs));
    return run;
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
 * @param options - configuration, claims, admission and dispatcher
 * @returns the service
 */
export default function createRequestService(options: RequestServiceOptions): RequestService {
  return new Service(options);
}
