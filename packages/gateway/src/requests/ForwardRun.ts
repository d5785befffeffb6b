import {
  decideRetry,
  findContinuers,
  isPermitted,
  type AttemptEnd,
  type RetryDecision,
  type RouteIndex,
  type ServerView,
} from '@bergamotcove/decide';
import { toError } from '@bergamotcove/errors';
import { describeError } from '@bergamotcove/log';
import { STOPPING_RETRY_AFTER_MS, type default as CallerExchange, type StopPhase } from '../callers/CallerExchange.js';
import runStages, { type StagesOutcome } from '../stages/runStages.js';
import AnswerReader from './AnswerReader.js';
import Attempt, { type AttemptedRun, type AttemptTarget } from './Attempt.js';
import chooseServedPool from './chooseServedPool.js';
import estimateWork from './estimateWork.js';
import findUnservedMs from './findUnservedMs.js';
import type { ForwardPorts } from './ForwardPorts.js';
import HeldResults from './HeldResults.js';
import isRepeatable from './isRepeatable.js';
import reportAttempt from './reportAttempt.js';
import Reservation from './Reservation.js';
import RunAnswer from './RunAnswer.js';
import StreamBinding from './StreamBinding.js';
import ServerFinder, { NO_SERVER_RETRY_AFTER_MS, type PlacedRun } from './ServerFinder.js';
import RunRecord, { type ForwardEnd } from './RunRecord.js';
import type { EndedAttempt, ForwardRequest, WholeAnswer } from './types.js';

const TIMED_OUT_RETRY_AFTER_MS = 100;
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

  private readonly placed: PlacedRun;

  private readonly attempted: AttemptedRun;

  private attempt: Attempt | undefined;

  private readonly binding: StreamBinding;

  private stageRounds = 0;

  private entryRequested = false;

  /** Monotonic time at which the scheduler expects the answer to begin. */
  private expectedAtMs = -Infinity;

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
    const { signal } = this.abort;
    this.placed = { request, pool, work, avoidServers, record, answer, results, reservation, binding, signal };
    const answered = { ...this.placed, answer, exchange };
    this.reader = new AnswerReader(answered, ports);
    const { reader } = this;
    const findSuccessor = (silent: ServerView, silence: AbortSignal) => this.findSuccessor(silent, silence);
    const mayMove = () => this.mayMove() && ports.spendRetry(pool);
    this.attempted = { ...answered, reader, findSuccessor, mayMove };
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
    } catch (cause) {
      this.ports.logger.event('processFailed', { requestId: this.request.requestId, ...describeError(toError(cause)) });
      this.answer.refuse('internal-error', NO_SERVER_RETRY_AFTER_MS);
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
    this.attempt = await this.startNext();
    while (this.attempt !== undefined) {
      // Each step depends on the previous one.
      /* eslint-disable no-await-in-loop */
      const { server, result: ending } = this.attempt;
      const result = await ending;
      if (result.type === 'delivered' || this.answer.ended) {
        return;
      }
      const { successor } = this.attempt;
      if (successor !== undefined) {
        this.avoidServers.push(server.serverId);
        this.report(server, result, { decision: 'send-again', allowed: true });
      }
      this.attempt = successor ?? (this.handleAttemptEnd(server, result) ? await this.startNext() : undefined);
      /* eslint-enable no-await-in-loop */
    }
  }

  /** Starts an attempt at a server that can serve the request now; undefined when the request ends first. */
  private async startNext(): Promise<Attempt | undefined> {
    if (this.answer.ended || !(await this.requestEntry()) || !(await this.ensureStageResults())) {
      return undefined;
    }
    const finder = new ServerFinder(this.placed, this.ports);
    const found = await finder.find();
    this.refuseBlocked();
    this.refuseBeyondDrain();
    if (found === undefined || this.answer.ended) {
      return undefined;
    }
    return new Attempt({ ...found, finder }, this.attempted, this.ports);
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

  /** Refuses a request that no server has and whose answer is expected to end only after this host has stopped. */
  private refuseBeyondDrain(): void {
    const { drain, clock, pools } = this.ports;
    const { endsAtMs = Infinity } = drain() ?? {};
    const workMs = this.work.tokens * pools.typicalUnitMs(this.pool);
    const sentAtMs = Math.max(clock.monotonicMs(), this.expectedAtMs);
    if (!this.record.mayHaveRun && sentAtMs + workMs > endsAtMs) {
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
    const outcome = await this.runStages(this.abort.signal);
    if (outcome.type === 'failed') {
      const shouldRepeat = outcome.reason === 'input-gone' && this.stageRounds < MAX_STAGE_ROUNDS && !this.answer.ended;
      if (!shouldRepeat) {
        this.answer.failStages(outcome);
      }
      return shouldRepeat ? this.ensureStageResults() : false;
    }
    if (this.answer.ended) {
      this.results.release();
    }
    return !this.answer.ended;
  }

  /** Runs the stages once, and keeps their results. */
  private async runStages(signal: AbortSignal): Promise<StagesOutcome> {
    this.stageRounds += 1;
    const { clock, stages: client, failureDomain } = this.ports;
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
    const outcome = await runStages(this.request, ports, { signal, round: this.stageRounds });
    this.record.noteStages();
    if (outcome.type === 'done') {
      this.results.keep(outcome.results, ports.regionOf);
    }
    return outcome;
  }

  /**
   * Finds another engine for a stream whose engine is silent, and makes the stage results that it needs again. The silent
   * engine may still deliver, so the request goes on there if none can be found.
   */
  private async findSuccessor(silent: ServerView, silence: AbortSignal): Promise<AttemptTarget | undefined> {
    const avoidServers = [...this.avoidServers, silent.serverId];
    if (!this.mayMove() || !this.hasOtherServer(avoidServers)) {
      return undefined;
    }
    const signal = AbortSignal.any([this.abort.signal, silence]);
    if (!this.results.complete) {
      const outcome = await this.runStages(signal);
      if (signal.aborted) {
        this.results.release();
      }
      if (outcome.type === 'failed' || signal.aborted) {
        return undefined;
      }
    }
    const answer = { refuse: () => undefined, ended: false };
    signal.addEventListener('abort', () => {
      answer.ended = true;
    });
    const finder = new ServerFinder({ ...this.placed, avoidServers, answer, signal }, this.ports);
    const found = await finder.find();
    return found === undefined || avoidServers.includes(found.server.serverId) ? undefined : { ...found, finder };
  }

  /**
   * Whether another attempt may take over from the current one. A host that stops leaves silent runs alone: a run that
   * begins anew would hardly end before the host does.
   */
  private mayMove(): boolean {
    const runs = this.record.runs + (this.attempt?.isAnswering === true ? 0 : 1);
    const isStopping = this.ports.drain() !== undefined;
    return !this.answer.ended && !isStopping && this.decide({ type: 'unknown' }, runs) === 'send-again';
  }

  private hasOtherServer(avoidServers: readonly string[]): boolean {
    const { directory, residency } = this.ports;
    const { servers } = directory.view(this.pool);
    const softwareVersion = this.binding.requiredVersion;
    const regions = residency.findRegions(this.request);
    return (
      softwareVersion === undefined ? servers : findContinuers(servers, { pool: this.pool, softwareVersion })
    ).some(({ serverId, region }) => !avoidServers.includes(serverId) && isPermitted(regions, region));
  }

  /** Decides what follows an attempt that did not deliver and applies it; true when the request is sent again. */
  private handleAttemptEnd(server: ServerView, result: EndedAttempt): boolean {
    const { spendRetry } = this.ports;
    if (result.unrecorded === true) {
      this.answer.refuse('origin-unrecorded', NO_SERVER_RETRY_AFTER_MS);
      return false;
    }
    const preferred = this.decide(result.end, this.record.runs);
    const allowed = preferred !== 'send-again' || result.retryReserved === true || spendRetry(this.pool);
    const fallback: RetryDecision = result.answer === undefined ? 'give-up' : 'pass-on';
    const decision = allowed ? preferred : fallback;
    this.report(server, result, { decision, allowed });
    return this.applyDecision(decision, server, result);
  }

  private decide(end: AttemptEnd, runs: number): RetryDecision {
    const { clock, pools } = this.ports;
    const { route, deadlineAtMs } = this.request;
    return decideRetry({
      end,
      repeatable: this.repeatable,
      runs,
      sends: this.record.sends,
      maxAttempts: route.maxAttempts,
      remainingMs: deadlineAtMs - clock.monotonicMs(),
      usualMs: pools.typicalUnitMs(this.pool),
    });
  }

  private report(
    server: ServerView,
    { end, silent = false }: EndedAttempt,
    outcome: { readonly decision: RetryDecision; readonly allowed: boolean },
  ): void {
    const { requestId, fingerprint, deadlineAtMs } = this.request;
    const { runs, sends } = this.record;
    const remainingMs = deadlineAtMs - this.ports.clock.monotonicMs();
    const attempt = { requestId, fingerprint, server, end: end.type, silent, runs, sends, remainingMs };
    reportAttempt({ ...attempt, ...outcome }, this.ports);
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
    if (block !== undefined && this.attempt?.isAnswering !== true && !this.answer.ended) {
      this.record.noteBlock(block.key);
      this.answer.refuse('poisoned', block.remainingMs);
    }
  }
}
