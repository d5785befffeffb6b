import type { Clock } from '@bergamotcove/clock';
import { choosePool, decideRetry, type RetryDecision, type RouteIndex, type ServerView } from '@bergamotcove/decide';
import type { PoolQueues } from '@bergamotcove/entry';
import type { Logger } from '@bergamotcove/log';
import type { ScrapedMetrics } from '@bergamotcove/telemetry';
import type CallerExchange from '../callers/CallerExchange.js';
import type { Refusal } from '../callers/CallerExchange.js';
import type { BackendDirectory } from '../catalogue/createBackendDirectory.js';
import type { RequestFormat, StageFormat } from '../ports.js';
import type { SchedulerClient } from '../scheduling/createSchedulerClient.js';
import type { ServerPools } from '../servers/createServerPools.js';
import placeAttempt from '../servers/placeAttempt.js';
import openAttempt, { type OpenedAttempt } from '../servers/openAttempt.js';
import readAnswerBody from '../servers/readAnswerBody.js';
import type { StageClient } from '../stages/createStageClient.js';
import runStages, { type StagesOutcome } from '../stages/runStages.js';
import { formatFingerprint, type CrashGuard } from './createCrashGuard.js';
import estimateWork from './estimateWork.js';
import formatAttemptHeaders from './formatAttemptHeaders.js';
import HeldResults from './HeldResults.js';
import relayStream from './relayStream.js';
import reportAttempt from './reportAttempt.js';
import trackAttempt, { classifyEnd } from './trackAttempt.js';
import Reservation from './Reservation.js';
import RunRecord, { type ForwardEnd } from './RunRecord.js';
import type { AttemptResult, EndedAttempt, ForwardRequest, WholeAnswer } from './types.js';

/** Parts that requests need. */
export interface ForwardPorts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly directory: BackendDirectory;
  readonly pools: ServerPools;
  readonly queues: PoolQueues;
  readonly stages: StageClient;
  readonly format: RequestFormat;
  readonly stageFormat: StageFormat;
  readonly scheduler: SchedulerClient;
  readonly region: string;
  readonly failureDomain: string;
  readonly random: () => number;
  readonly metrics: ScrapedMetrics;
  readonly crashes: CrashGuard;
  /** Takes room for one repeated send to a pool. */
  readonly spendRetry: (pool: string) => boolean;
}

const FIRST_REDIRECT = 300;
/** Time after which a request that found no server is expected to find one. */
const NO_SERVER_RETRY_MS = 300;
const TIMED_OUT_RETRY_MS = 100;
/** A request that crashed two servers stays blocked for minutes. */
const POISONED_RETRY_MS = 60_000;
/** Time in which a server has fetched the results that an attempt names. */
const FETCH_MS = 80;
/** Times that the stages of a request run, when results are lost with their servers. */
const MAX_ROUNDS = 3;

/** One request on its way through stages and attempts to its answer. */
export default class ForwardRun {
  private readonly abort = new AbortController();

  private readonly record: RunRecord;

  private readonly avoidServers: string[] = [];

  private readonly work;

  private readonly fingerprint: string;

  private readonly results: HeldResults;

  private readonly pool: string;

  private readonly reservation: Reservation;

  private rounds = 0;

  private entered = false;

  /** Whether the attempt in flight has left this host and may run. */
  private inFlight = false;

  private lastEventId: string | undefined;

  private ended = false;

  constructor(
    private readonly request: ForwardRequest,
    private readonly index: RouteIndex,
    private readonly exchange: CallerExchange,
    private readonly ports: ForwardPorts,
  ) {
    this.record = new RunRecord(ports.clock, request);
    this.work = estimateWork(request);
    this.fingerprint = formatFingerprint({ ...request, organisation: request.organisation?.name });
    this.results = new HeldResults(request, ports.stages);
    this.pool = choosePool(request.route.pools, ports.random()) ?? '';
    this.reservation = new Reservation(request, this.pool, ports);
  }

  /** Answers the request; never rejects. */
  async execute(): Promise<ForwardEnd> {
    const { clock } = this.ports;
    const timer = clock.schedule(this.request.deadlineAtMs - clock.monotonicMs(), () => this.expire());
    this.exchange.onGone(() => this.end('caller-gone', 0, 'caller-gone'));
    try {
      await this.serve();
    } finally {
      timer.close();
      this.results.release();
      this.reservation.leave();
    }
    return this.record.finish();
  }

  private get repeatable(): boolean {
    const { kind, resumable } = this.request.route;
    return kind === 'idempotent' || (kind === 'stream' && resumable);
  }

  private async serve(): Promise<void> {
    while (!this.ended) {
      // Each step depends on the one before.
      /* eslint-disable no-await-in-loop */
      if (!(await this.enter()) || !(await this.prepare())) {
        return;
      }
      const server = await this.place();
      if (server === undefined) {
        return;
      }
      const result = await this.attempt(server);
      /* eslint-enable no-await-in-loop */
      if (result.type === 'delivered' || this.ended) {
        return;
      }
      if (!this.goesOn(server, result)) {
        return;
      }
    }
  }

  /** Asks the scheduler before the first step of a request with stages; false when the request ended. */
  private async enter(): Promise<boolean> {
    if (this.entered || this.request.route.stages.length === 0) {
      return true;
    }
    this.entered = true;
    const entry = await this.reservation.enter();
    if (entry.type === 'refused') {
      this.refuse(503, 'overloaded', entry.retryAfterMs);
    } else {
      this.record.noteEntry(entry);
    }
    return !this.ended;
  }

  /** Runs the stages unless their results exist; false when the request ended with them. */
  private async prepare(): Promise<boolean> {
    if (this.results.complete) {
      return true;
    }
    this.rounds += 1;
    const { clock, stages: client, failureDomain } = this.ports;
    const regionOf = (stage: number): string => this.reservation.regionOf(stage);
    const options = { signal: this.abort.signal, round: this.rounds };
    const ports = {
      clock,
      client,
      index: this.index,
      regionOf,
      failureDomain: this.reservation.failureDomain ?? failureDomain,
      yields: this.reservation.tier === 'late',
      answerMs: this.reservation.answerMs,
      onStageEnded: (stage: number, elapsedMs: number) => {
        this.record.noteStage(stage, elapsedMs);
        this.reservation.endStage(stage);
      },
    };
    const outcome = await runStages(this.request, ports, options);
    this.record.noteStages();
    if (outcome.type === 'failed') {
      const again = outcome.reason === 'input-gone' && this.rounds < MAX_ROUNDS && !this.ended;
      if (!again) {
        this.refuseStages(outcome);
      }
      return again ? this.prepare() : false;
    }
    this.results.keep(outcome.results, regionOf);
    if (this.ended) {
      this.results.release();
    }
    return !this.ended;
  }

  private refuseStages(outcome: Extract<StagesOutcome, { type: 'failed' }>): void {
    const late = outcome.reason === 'late';
    this.refuse(this.record.runs > 0 ? 502 : 503, late ? 'deadline-passed' : 'overloaded', outcome.retryAfterMs);
  }

  /** Waits for a server with room; undefined when the request ended before. */
  private async place(): Promise<ServerView | undefined> {
    const serverId = await this.reservation.place(this.results, this.avoidServers);
    const placement = {
      request: this.request,
      pool: this.pool,
      serverId,
      avoidServers: this.avoidServers,
      ...this.work,
    };
    const placed = await placeAttempt(placement, { ...this.ports, isCancelled: () => this.ended });
    if (placed.type === 'placed') {
      this.record.notePlaced();
      return placed.server;
    }
    if (placed.type === 'no-server') {
      this.refuse(this.record.runs > 0 ? 502 : 503, 'no-server', NO_SERVER_RETRY_MS);
    }
    return undefined;
  }

  private async attempt(server: ServerView): Promise<AttemptResult> {
    const { pools, format, clock, crashes } = this.ports;
    const { fingerprint } = this;
    if (crashes.isBlocked(fingerprint)) {
      this.refuse(this.record.runs > 0 ? 502 : 503, 'poisoned', POISONED_RETRY_MS);
      return { type: 'ended', end: { type: 'not-run' }, resultsGone: false };
    }
    this.record.noteSend(server.serverId);
    const endTracking = trackAttempt(server, { tokens: this.work.tokens, fingerprint }, this.ports);
    const opened = await openAttempt(pools.clientOf(server.pool), format, {
      target: server,
      requestId: this.request.requestId,
      method: this.request.method,
      path: this.request.path,
      headers: this.formatHeaders(server),
      body: this.request.body,
      signal: this.abort.signal,
      onSending: () => {
        this.inFlight = true;
        clock.schedule(FETCH_MS, () => this.results.spare());
      },
      maySend: () => !this.ended && clock.monotonicMs() < this.request.deadlineAtMs,
    });
    const result = await this.readAttempt(server, opened);
    this.inFlight = false;
    this.reservation.noteAttempt(opened.type === 'failed' && !this.ended ? 'failed' : 'ended');
    await endTracking(this.ended && opened.type === 'failed' ? 'abandoned' : classifyEnd(opened, result));
    return result;
  }

  private formatHeaders(server: ServerView): readonly string[] {
    const { request } = this;
    return formatAttemptHeaders(
      request.headers,
      {
        serverId: server.serverId,
        remainingMs: request.deadlineAtMs - this.ports.clock.monotonicMs(),
        organisation: request.organisation?.name,
        results: this.results.last,
        lastEventId: this.lastEventId,
        priority: request.priority,
      },
      this.ports.format,
    );
  }

  private async readAttempt(server: ServerView, opened: OpenedAttempt): Promise<AttemptResult> {
    if (opened.type === 'failed') {
      const notRun = opened.failure.type === 'not-sent';
      this.record.noteRun(!notRun);
      return { type: 'ended', end: { type: notRun ? 'not-run' : 'unknown' }, resultsGone: false };
    }
    const { head, facts, response } = opened;
    if (facts.load !== undefined) {
      this.ports.pools.noteLoad(server.serverId, facts.load);
    }
    if (facts.notRun) {
      response.resume();
      if (facts.otherServer) {
        this.ports.directory.noteGone(server.serverId);
      }
      return { type: 'ended', end: { type: 'not-run' }, resultsGone: facts.resultsGone };
    }
    this.record.noteRun(true);
    this.record.noteFirstByte();
    this.reservation.noteFirstToken(facts.load?.slowness);
    if (this.request.route.kind === 'stream' && head.status < FIRST_REDIRECT) {
      return this.relay(opened);
    }
    const body = await readAnswerBody(response);
    return body === undefined
      ? { type: 'ended', end: { type: 'unknown' }, resultsGone: false }
      : { type: 'ended', end: { type: 'answered', status: head.status }, answer: { head, body }, resultsGone: false };
  }

  private async relay({ head, response }: Extract<OpenedAttempt, { type: 'head' }>): Promise<AttemptResult> {
    // The server fetched the results before it began to generate.
    this.results.release();
    if (this.ended) {
      response.destroy();
      return { type: 'delivered' };
    }
    if (!this.exchange.begun) {
      this.exchange.begin(head);
    }
    const end = await relayStream(response, this.exchange, {
      afterEventId: this.lastEventId,
      onEvents: (lastEventId) => {
        this.lastEventId = lastEventId ?? this.lastEventId;
      },
    });
    if (end.type === 'complete' && !this.ended) {
      this.exchange.finish();
      this.end('answered', head.status, 'streamed');
      return { type: 'delivered' };
    }
    return { type: 'ended', end: { type: 'unknown' }, resultsGone: false };
  }

  /** Applies what follows an attempt; true when the request is sent again. */
  private goesOn(server: ServerView, result: EndedAttempt): boolean {
    const { clock, pools, spendRetry } = this.ports;
    const remainingMs = this.request.deadlineAtMs - clock.monotonicMs();
    const { runs, sends } = this.record;
    const wanted = decideRetry({
      end: result.end,
      repeatable: this.repeatable,
      runs,
      sends,
      maxAttempts: this.request.route.maxAttempts,
      remainingMs,
      usualMs: pools.usualMs(this.pool),
    });
    const allowed = wanted !== 'send-again' || spendRetry(this.pool);
    const withoutBudget: RetryDecision = result.answer === undefined ? 'give-up' : 'pass-on';
    const decision = allowed ? wanted : withoutBudget;
    reportAttempt(
      { requestId: this.request.requestId, server, end: result.end.type, decision, allowed, runs, sends, remainingMs },
      this.ports,
    );
    return this.follow(decision, server, result);
  }

  private follow(decision: RetryDecision, server: ServerView, result: EndedAttempt): boolean {
    switch (decision) {
      case 'send-again':
        if (result.resultsGone) {
          this.results.forget();
        } else {
          this.avoidServers.push(server.serverId);
        }
        return true;
      case 'pass-on':
        this.deliver(result.answer as WholeAnswer);
        return false;
      default:
        this.refuse(this.record.runs > 0 ? 502 : 503, 'attempts-exhausted', NO_SERVER_RETRY_MS);
        return false;
    }
  }

  private deliver({ head, body }: WholeAnswer): void {
    if (this.exchange.begun) {
      this.exchange.abort();
      this.end('failed', head.status, 'stream-broken');
      return;
    }
    this.exchange.begin(head);
    this.exchange.finish(body);
    this.end('answered', head.status, 'answered');
  }

  private refuse(status: number, reason: Refusal['reason'], retryAfterMs: number): void {
    if (this.ended) {
      return;
    }
    const { begun } = this.exchange;
    this.exchange.refuse({ status, reason, ...(status === 503 ? { retryAfterMs } : {}) });
    this.end(begun || status !== 503 ? 'failed' : 'refused', status, reason);
  }

  private expire(): void {
    const mayRun = this.inFlight || this.record.runs > 0;
    this.refuse(mayRun ? 504 : 503, 'timed-out', TIMED_OUT_RETRY_MS);
  }

  private end(outcome: ForwardEnd['outcome'], status: number, reason: string): void {
    if (!this.ended) {
      this.ended = true;
      this.record.noteEnd(outcome, status, reason);
      this.abort.abort();
      this.results.release();
    }
  }
}
