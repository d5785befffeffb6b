import {
  decideRetry,
  computeIdleTimeoutMs,
  type RetryDecision,
  type RouteIndex,
  type ServerView,
} from '@bergamotcove/decide';
import { STOPPING_RETRY_AFTER_MS, type default as CallerExchange, type StopPhase } from '../callers/CallerExchange.js';
import runStages from '../stages/runStages.js';
import AnswerReader from './AnswerReader.js';
import chooseServedPool from './chooseServedPool.js';
import estimateWork from './estimateWork.js';
import findUnservedMs from './findUnservedMs.js';
import type { ForwardPorts } from './ForwardPorts.js';
import formatAttemptHeaders from './formatAttemptHeaders.js';
import HeldResults from './HeldResults.js';
import isRepeatable from './isRepeatable.js';
import openChecked from './openChecked.js';
import reportAttempt from './reportAttempt.js';
import trackAttempt, { classifyEnd } from './trackAttempt.js';
import startIdleTimeout, { type IdleTimeout } from './startIdleTimeout.js';
import Reservation, { DEFAULT_ANSWER_MS } from './Reservation.js';
import RunAnswer from './RunAnswer.js';
import StreamBinding from './StreamBinding.js';
import ServerFinder, { NO_SERVER_RETRY_AFTER_MS } from './ServerFinder.js';
import RunRecord, { type ForwardEnd } from './RunRecord.js';
import type { AttemptResult, EndedAttempt, ForwardRequest, WholeAnswer } from './types.js';

const TIMED_OUT_RETRY_AFTER_MS = 100;
/** Time after sending by which a server has fetched the stage results that the attempt names. */
const RESULT_FETCH_MS = 80;
/** Limit on the runs of the stages of a request. They run again when results are lost with their servers. */
const MAX_STAGE_ROUNDS = 3;

/** Serves one request: runs its stages, then sends attempts until one is answered. */
export default class ForwardRun {
  private readonly abort = new AbortController();

  private readonly record: RunRecord;

  private readonly avoidServers: string[] = [];

  private readonly work;

  private readonly results: HeldResults;

  private readonly answer: RunAnswer;

  private readonly pool: string;

  private readonly reservation: Reservation;

  private readonly reader: AnswerReader;

  private readonly finder: ServerFinder;

  private readonly binding: StreamBinding;

  private stageRounds = 0;

  /** Time to the first token of the attempt, as predicted by the scheduler. */
  private expectedFirstTokenMs: number | undefined;

  private entryRequested = false;

  /** Monotonic time at which the scheduler expects the answer to begin. */
  private expectedAtMs = -Infinity;

  /** Whether the server has begun to answer the current attempt. */
  private isAnswering = false;

  constructor(
    private readonly request: ForwardRequest,
    private readonly index: RouteIndex,
    private readonly exchange: CallerExchange,
    private readonly ports: ForwardPorts,
  ) {
    this.record = new RunRecord(ports.clock, request);
    this.work = estimateWork(request);
    this.results = new HeldResults(request, ports.stages);
    this.answer = new RunAnswer({ request, exchange, record: this.record }, ports, () => {
      this.abort.abort();
      this.results.release();
    });
    this.pool = chooseServedPool(request, ports);
    this.binding = new StreamBinding(request, this.pool, ports);
    this.reservation = new Reservation(request, this.pool, ports);
    const { record, answer, results, reservation, binding, pool, work, avoidServers } = this;
    const placed = { request, pool, work, avoidServers, record, answer, results, reservation, binding };
    this.finder = new ServerFinder({ ...placed, signal: this.abort.signal }, ports);
    this.reader = new AnswerReader({ request, exchange, record, answer, results, reservation, binding }, ports);
  }

  /** Serves the request until it is answered or has failed; never rejects. */
  async execute(): Promise<ForwardEnd> {
    const { clock } = this.ports;
    const timer = clock.schedule(this.request.deadlineAtMs - clock.monotonicMs(), () => this.expire());
    this.exchange.onDisconnect(() => this.answer.end('caller-gone', 0, 'caller-gone'));
    this.exchange.onStop((phase) => this.stop(phase));
    const subscriptions = [
      this.ports.crashes.onBlocked(this.request, () => this.refuseBlocked()),
      this.ports.residency.onRestricted(this.request, () => this.refuseUnserved()),
    ];
    try {
      await this.serve();
    } finally {
      timer.close();
      subscriptions.forEach((unsubscribe) => unsubscribe());
      this.results.release();
      this.reservation.leave();
    }
    return this.record.finish();
  }

  private get repeatable(): boolean {
    const { route } = this.request;
    return isRepeatable(route) && (route.kind !== 'stream' || this.reader.position.canContinue);
  }

  private async serve(): Promise<void> {
    this.refuseBlocked();
    this.refuseUnserved();
    while (!this.answer.ended) {
      // Each step depends on the previous one.
      /* eslint-disable no-await-in-loop */
      if (!(await this.requestEntry()) || !(await this.ensureStageResults())) {
        return;
      }
      const found = await this.finder.find();
      this.refuseBlocked();
      if (found === undefined || this.answer.ended) {
        return;
      }
      const { server } = found;
      this.expectedFirstTokenMs = found.expectedFirstTokenMs;
      const result = await this.sendAttempt(server);
      /* eslint-enable no-await-in-loop */
      if (result.type === 'delivered' || this.answer.ended) {
        return;
      }
      if (!this.handleAttemptEnd(server, result)) {
        return;
      }
    }
  }

  /** Asks the scheduler once to admit a request that has stages. False when the request has ended. */
  private async requestEntry(): Promise<boolean> {
    if (this.entryRequested || this.request.route.stages.length === 0) {
      return true;
    }
    this.entryRequested = true;
    const entry = await this.reservation.enter();
    if (entry.type === 'refused') {
      this.answer.refuse('overloaded', entry.retryAfterMs);
    } else {
      this.record.noteEntry(entry);
      this.expectedAtMs = this.ports.clock.monotonicMs() + (entry.expectedInMs ?? 0);
      this.refuseBeyondDrain();
    }
    return !this.answer.ended;
  }

  /** Refuses a request that is expected to reach a server only when this host has stopped. */
  private refuseBeyondDrain(): void {
    if (!this.record.mayHaveRun && this.expectedAtMs > (this.ports.drain()?.endsAtMs ?? Infinity)) {
      this.refuseStopping();
    }
  }

  private refuseStopping(): void {
    this.answer.refuse('stopping', STOPPING_RETRY_AFTER_MS);
  }

  /** Runs the stages unless their results exist. False when the request has ended. */
  private async ensureStageResults(): Promise<boolean> {
    if (this.results.complete) {
      return true;
    }
    this.stageRounds += 1;
    const { clock, stages: client, failureDomain } = this.ports;
    const options = { signal: this.abort.signal, round: this.stageRounds };
    const ports = {
      clock,
      client,
      index: this.index,
      ...this.reservation.describeStages(failureDomain),
      onStageEnded: (stage: number, elapsedMs: number) => {
        this.record.noteStage(stage, elapsedMs);
        this.reservation.endStage(stage);
      },
    };
    const outcome = await runStages(this.request, ports, options);
    this.record.noteStages();
    if (outcome.type === 'failed') {
      const shouldRepeat = outcome.reason === 'input-gone' && this.stageRounds < MAX_STAGE_ROUNDS && !this.answer.ended;
      if (!shouldRepeat) {
        this.answer.failStages(outcome);
      }
      return shouldRepeat ? this.ensureStageResults() : false;
    }
    this.results.keep(outcome.results, ports.regionOf);
    if (this.answer.ended) {
      this.results.release();
    }
    return !this.answer.ended;
  }

  private async sendAttempt(server: ServerView): Promise<AttemptResult> {
    const { clock } = this.ports;
    const { fingerprint, partKeys } = this.request;
    // On a kept connection, an earlier answer that the server repeats would bear the id of this attempt too.
    const freshConnection = this.record.hasSentTo(server);
    this.record.noteSend(server);
    const tracked = trackAttempt(server, { tokens: this.work.tokens, fingerprint, partKeys }, this.ports);
    const idleTimeout = this.startAttemptTimeout();
    let sentAtMs = clock.monotonicMs();
    const attempt = {
      server,
      request: this.request,
      binding: this.binding,
      freshConnection,
      formatHeaders: () => this.formatHeaders(server),
      signal: AbortSignal.any([this.abort.signal, idleTimeout.signal]),
      onSending: () => {
        this.record.noteSending();
        sentAtMs = clock.monotonicMs();
        clock.schedule(RESULT_FETCH_MS, () => this.results.markEvictable());
      },
      maySend: () => this.exchange.isOpen && !this.answer.ended && this.finder.maySend(server),
    };
    const { opened, isReplaced } = await openChecked(attempt, this.ports);
    this.isAnswering = opened.type === 'head' && !opened.facts.notRun;
    if (this.isAnswering) {
      tracked.noteAnswering();
    }
    const result = await this.reader.read(server, opened, { idleTimeout, onOutput: tracked.noteOutput, sentAtMs });
    idleTimeout.close();
    this.record.noteAttemptEnd();
    this.isAnswering = false;
    this.reservation.noteAttemptEnd(opened.type === 'failed' && !this.answer.ended ? 'failed' : 'ended');
    const timedOut = idleTimeout.expired;
    await tracked.end(classifyEnd({ opened, result, timedOut, requestEnded: this.answer.ended }));
    // Nothing was sent to a server that has started again, so the next attempt is no retry.
    const retryReserved = timedOut || isReplaced || this.finder.isExpired;
    return result.type === 'ended' ? { ...result, retryReserved, silent: timedOut } : result;
  }

  /** Starts the idle timeout of an attempt. It applies only to streams that another engine may run again. */
  private startAttemptTimeout(): IdleTimeout {
    const { clock, spendRetry } = this.ports;
    const { route, deadlineAtMs } = this.request;
    const { expectedFirstTokenMs = DEFAULT_ANSWER_MS } = this;
    const mayRepeat = route.kind === 'stream' && this.repeatable && this.record.runs + 1 < route.maxAttempts;
    return startIdleTimeout({
      clock,
      limitMs: mayRepeat ? computeIdleTimeoutMs(expectedFirstTokenMs) : undefined,
      mayExpire: () =>
        !this.answer.ended && clock.monotonicMs() + expectedFirstTokenMs < deadlineAtMs && spendRetry(this.pool),
    });
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
        lastEventId: this.reader.position.lastEventId,
        priority: request.priority,
      },
      this.ports.format,
    );
  }

  /** Decides what follows an attempt that did not deliver and applies it; true when the request is sent again. */
  private handleAttemptEnd(server: ServerView, result: EndedAttempt): boolean {
    const { clock, pools, spendRetry } = this.ports;
    if (result.unrecorded === true) {
      this.answer.refuse('origin-unrecorded', NO_SERVER_RETRY_AFTER_MS);
      return false;
    }
    const remainingMs = this.request.deadlineAtMs - clock.monotonicMs();
    const { runs, sends } = this.record;
    const preferred = decideRetry({
      end: result.end,
      repeatable: this.repeatable,
      runs,
      sends,
      maxAttempts: this.request.route.maxAttempts,
      remainingMs,
      usualMs: pools.typicalUnitMs(this.pool),
    });
    const allowed = preferred !== 'send-again' || result.retryReserved === true || spendRetry(this.pool);
    const fallback: RetryDecision = result.answer === undefined ? 'give-up' : 'pass-on';
    const decision = allowed ? preferred : fallback;
    const { requestId, fingerprint } = this.request;
    const { silent = false } = result;
    reportAttempt(
      { requestId, fingerprint, server, end: result.end.type, silent, decision, allowed, runs, sends, remainingMs },
      this.ports,
    );
    return this.applyDecision(decision, server, result);
  }

  private applyDecision(decision: RetryDecision, server: ServerView, result: EndedAttempt): boolean {
    switch (decision) {
      case 'send-again':
        if (result.resultsGone) {
          this.results.forget();
        } else {
          this.avoidServers.push(server.serverId);
        }
        return true;
      case 'pass-on':
        this.answer.deliver(server, result.answer as WholeAnswer);
        return false;
      default:
        this.answer.refuse('attempts-exhausted', NO_SERVER_RETRY_AFTER_MS);
        return false;
    }
  }

  /**
   * Answers the request because this host stops. One that ends by its own deadline is left until the end; a stream that
   * waits for a server is broken off, so that its caller takes it up at another host.
   */
  private stop(phase: StopPhase): void {
    const endsAtMs = this.ports.drain()?.endsAtMs ?? Infinity;
    const isWaiting = !this.record.isInFlight && this.request.deadlineAtMs > endsAtMs;
    switch (phase) {
      case 'begin':
        this.refuseBeyondDrain();
        break;
      case 'refuse-unsent':
        if (isWaiting && (this.record.runs === 0 || this.exchange.headSent)) {
          this.refuseStopping();
        }
        break;
      default:
        this.refuseStopping();
    }
  }

  private expire(): void {
    this.answer.refuse('timed-out', TIMED_OUT_RETRY_AFTER_MS);
  }

  /** Refuses a request of which nothing was sent and that no server may get. */
  private refuseUnserved(): void {
    const { request, pool, reservation, ports, record } = this;
    const retryAfterMs = record.mayHaveRun ? undefined : findUnservedMs(request, { pool, reservation }, ports);
    if (retryAfterMs !== undefined) {
      this.answer.refuse('no-server', retryAfterMs);
    }
  }

  /** Refuses a request that is blocked, or has a blocked part in its prompt, unless its answer is already arriving. */
  private refuseBlocked(): void {
    const block = this.ports.crashes.findBlock(this.request);
    if (block !== undefined && !this.isAnswering && !this.answer.ended) {
      this.record.noteBlock(block.key);
      this.answer.refuse('poisoned', block.remainingMs);
    }
  }
}
