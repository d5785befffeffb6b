import {
  createAdmission,
  createByteBudget,
  createExtraBudget,
  createPoolBook,
  createStageQueue,
  rankUrgency,
  type StageQueue,
} from '@bergamotcove/decide';
import createRandomSource from '../_lib/createRandomSource.js';
import { BYTES_PER_MESSAGE, BYTES_PER_TOKEN, LINK_SHARE, REPORT_POLL_MS, TICK_MS } from '../constants.js';
import type { Arrival, LoadStage, RequestRecord } from '../types.js';
import createAttemptSender, { type AttemptSender } from './createAttemptSender.js';
import createEstimates from './createEstimates.js';
import createServerPicker from './createServerPicker.js';
import followAttempts from './followAttempts.js';
import type { AttemptState, LoadWorld, QueueEntry, RunState } from './types.js';

/** One entry host in virtual time. */
export interface HostModel {
  accept(arrival: Arrival): void;
}

/** Stages of this host that may wait for a server before admission holds requests back. */
const RELEASE_WINDOW = 1;
const MAX_ATTEMPTS = 3;
const RETRY_BUDGET = { ratio: 0.1, burst: 10 };
/** A longer wait for admission means that local servers cannot serve everything in time. */
const OVERLOAD_WAIT_MS = 300;
const LONG_OUTPUT_TOKENS = 512;
const NO_LIMIT_PER_SECOND = 1e9;

class Host implements HostModel {
  private readonly book = createPoolBook();

  private readonly admission = createAdmission<RunState>();

  private readonly queues = new Map<string, StageQueue<QueueEntry>>();

  private readonly retries = createExtraBudget(RETRY_BUDGET);

  private readonly open = new Set<AttemptState>();

  private readonly estimates;

  private readonly picker;

  private readonly sender: AttemptSender;

  constructor(
    private readonly world: LoadWorld,
    hostIndex: number,
  ) {
    const { deployment, events } = world;
    const place = deployment.failureDomains[hostIndex % deployment.failureDomains.length] as RegionPlace;
    const regionHosts = Array.from({ length: deployment.entryHosts }, (_, index) => index).filter(
      (index) => deployment.failureDomains[index % deployment.failureDomains.length]?.region === place.region,
    ).length;
    const bytes = createByteBudget((deployment.linkBytesPerSecond * LINK_SHARE) / regionHosts);
    const random = createRandomSource(world.seed, 1_000 + hostIndex);
    this.estimates = createEstimates(world, this.book);
    this.picker = createServerPicker({ world, place, book: this.book, bytes, random });
    this.sender = createAttemptSender({
      world,
      place,
      book: this.book,
      estimates: this.estimates,
      onAnswered: (attempt) => this.handleAnswer(attempt),
      onLost: (attempt) => this.handleLoss(attempt),
    });
    events.at(random() * REPORT_POLL_MS, () => this.poll());
    events.at(random() * TICK_MS, () => this.tick());
  }

  accept(arrival: Arrival): void {
    const run = this.createRun(arrival);
    if (!this.world.policy.admission) {
      run.admitted = true;
      this.startStage(run);
      return;
    }
    const tokensPerSecond = (this.world.scenario.tokensPerSecondLimit ?? NO_LIMIT_PER_SECOND) / this.hostCount();
    const share = { requestsPerSecond: NO_LIMIT_PER_SECOND, tokensPerSecond };
    const decision = this.admission.offer(run, share, this.nowMs());
    if (decision.type === 'refused') {
      this.finish(run, 'refused', decision.retryAfterMs);
    } else {
      this.pump();
    }
  }

  private hostCount(): number {
    return this.world.deployment.entryHosts;
  }

  private nowMs(): number {
    return this.world.events.nowMs();
  }

  private createRun(arrival: Arrival): RunState {
    const estimateTokens = this.estimates.outputTokens(arrival);
    return {
      requestId: String(arrival.id),
      organisation: arrival.organisation,
      weight: arrival.weight,
      priority: arrival.operation.priority,
      costTokens: estimateTokens + this.estimates.prefillTokens(arrival, 0),
      deadlineAtMs: arrival.atMs + arrival.operation.deadlineMs,
      runMs: this.estimates.runMs(arrival, estimateTokens),
      typicalMs: this.estimates.typicalMs(arrival, estimateTokens),
      arrival,
      stageIndex: 0,
      stageStartedAtMs: 0,
      stageAttempts: 0,
      attempts: [],
      avoidServers: [],
      arrivedTokens: 0,
      estimateTokens,
      releasedAtMs: this.nowMs(),
      admitted: false,
      finished: false,
    };
  }

  /** Releases admitted requests while few stages of this host wait for a server. */
  private pump(): void {
    while (this.waitingStages() < RELEASE_WINDOW) {
      const released = this.admission.release(this.nowMs());
      if (released === undefined) {
        return;
      }
      const run = released.item;
      if (released.late) {
        this.finish(run, 'refused', TICK_MS);
      } else {
        run.admitted = true;
        run.releasedAtMs = this.nowMs();
        this.startStage(run);
      }
    }
  }

  private waitingStages(): number {
    return [...this.queues].reduce((sum, [key, queue]) => (key.endsWith(':long') ? sum : sum + queue.length), 0);
  }

  private queueOf(stage: LoadStage, long: boolean): StageQueue<QueueEntry> {
    const key = long ? `${stage}:long` : stage;
    const queue = this.queues.get(key) ?? createStageQueue<QueueEntry>();
    this.queues.set(key, queue);
    return queue;
  }

  private startStage(started: RunState): void {
    const run = started;
    const stage = run.arrival.operation.stages[run.stageIndex];
    if (stage === undefined) {
      this.finish(run, 'answered');
      return;
    }
    run.stageStartedAtMs = this.nowMs();
    run.stageAttempts = 0;
    run.avoidServers = [];
    this.enqueue(run, stage);
  }

  private enqueue(run: RunState, stage: LoadStage): void {
    const long = this.isLong(run, stage);
    const nowMs = this.nowMs();
    const latestStartAtMs = run.deadlineAtMs - this.estimates.typicalLeftMs(run);
    const rank = this.world.policy.stageQueues
      ? rankUrgency({ latestStartAtMs, enqueuedAtMs: nowMs, priority: run.priority })
      : nowMs;
    this.queueOf(stage, long).push({ run, hedge: false }, rank);
    this.drain(stage, long);
  }

  private isLong(run: RunState, stage: LoadStage): boolean {
    return this.world.policy.longLimit && stage === 'generate' && run.estimateTokens >= LONG_OUTPUT_TOKENS;
  }

  private drain(stage: LoadStage, long: boolean): void {
    const queue = this.queueOf(stage, long);
    for (let entry = queue.peek(); entry !== undefined; entry = queue.peek()) {
      const { run } = entry;
      const hopeless = this.world.policy.stageQueues && this.isHopeless(run);
      if (run.finished || hopeless) {
        queue.pop();
        if (!run.finished) {
          this.finish(run, 'refused', TICK_MS);
        }
      } else if (this.trySend(entry, stage, long)) {
        queue.pop();
      } else {
        return;
      }
    }
  }

  /** No work is done for a request that misses its deadline anyway. */
  private isHopeless(run: RunState): boolean {
    return run.attempts.length === 0 && this.nowMs() + this.estimates.leastMs(run) > run.deadlineAtMs;
  }

  private trySend(entry: QueueEntry, stage: LoadStage, long: boolean): boolean {
    const { run, hedge } = entry;
    const busy = run.attempts.map((attempt) => attempt.server.description.serverId);
    const tokens = this.stageTokens(run, stage);
    const pick = this.picker.pick({
      run,
      stage,
      tokens,
      long,
      remainingMs: this.estimates.stageShareMs(run),
      avoidServers: [...run.avoidServers, ...busy],
      localOverloaded: this.admission.waitMs(this.nowMs()) > OVERLOAD_WAIT_MS,
      bytes: {
        requestBytes: run.arrival.operation.inputBytes + BYTES_PER_MESSAGE,
        replyBytes: BYTES_PER_MESSAGE + (stage === 'generate' ? run.estimateTokens * BYTES_PER_TOKEN : 0),
      },
    });
    if (pick.type === 'wait' || (hedge && busy.includes(pick.server.serverId))) {
      return hedge && pick.type === 'send';
    }
    if (!hedge) {
      this.retries.earn();
    }
    run.stageAttempts += 1;
    this.picker.noteSent(run, pick.server.serverId);
    const server = this.world.findServer(pick.server.serverId);
    const attempt = this.sender.send({ run, stage, server, hedge, long, tokens, crossRegion: pick.crossRegion });
    run.attempts.push(attempt);
    this.open.add(attempt);
    return true;
  }

  /** A stream that has begun goes on elsewhere at its next token; before that a second attempt runs beside the first. */
  private sendSecond(attempt: AttemptState): boolean {
    const { run } = attempt;
    const before = run.attempts.length;
    this.trySend({ run, hedge: true }, attempt.stage, attempt.long);
    const sent = run.attempts.length > before;
    if (sent && run.arrivedTokens > 0) {
      this.sender.cancel(attempt, { resumed: true });
      this.open.delete(attempt);
      run.attempts = run.attempts.filter((other) => other !== attempt);
    }
    return sent;
  }

  private stageTokens(run: RunState, stage: LoadStage): number {
    if (stage !== 'generate') {
      return 1;
    }
    const left = Math.max(1, run.estimateTokens - run.arrivedTokens);
    return this.estimates.prefillTokens(run.arrival, run.arrivedTokens) + left;
  }

  private handleAnswer(attempt: AttemptState): void {
    const { run } = attempt;
    this.open.delete(attempt);
    const losers = run.attempts.filter((other) => other !== attempt);
    losers.forEach((loser) => {
      this.sender.cancel(loser);
      this.open.delete(loser);
    });
    run.attempts = [];
    this.estimates.learnStage(run, attempt.stage, this.nowMs() - run.stageStartedAtMs);
    run.stageIndex += 1;
    if (!run.finished) {
      this.startStage(run);
    }
    this.drainStage(attempt.stage);
    this.pump();
  }

  private handleLoss(attempt: AttemptState): void {
    const { run } = attempt;
    this.open.delete(attempt);
    run.attempts = run.attempts.filter((other) => other !== attempt);
    run.avoidServers.push(attempt.server.description.serverId);
    if (run.finished || run.attempts.length > 0) {
      return;
    }
    const repeatable = attempt.stage !== 'call' || !attempt.submitted;
    if (repeatable && run.stageAttempts < MAX_ATTEMPTS && this.retries.spend()) {
      this.enqueue(run, attempt.stage);
    } else {
      this.finish(run, 'failed');
    }
  }

  private finish(finished: RunState, result: RequestRecord['result'], retryAfterMs?: number): void {
    const run = finished;
    run.finished = true;
    if (result === 'answered') {
      this.estimates.learnRun(run);
    }
    const { arrival, admitted } = run;
    const retry = retryAfterMs === undefined ? {} : { retryAfterMs };
    this.world.record({ arrival, result, admitted, finishedAtMs: this.nowMs(), ...retry });
  }

  private drainStage(stage: LoadStage): void {
    this.drain(stage, false);
    if (this.world.policy.longLimit) {
      this.drain(stage, true);
    }
  }

  private tick(): void {
    const { events, policy } = this.world;
    events.at(this.nowMs() + TICK_MS, () => this.tick());
    followAttempts([...this.open], {
      world: this.world,
      book: this.book,
      estimates: this.estimates,
      hedge: (attempt) => policy.hedges && this.sendSecond(attempt),
      isLong: (run) => this.isLong(run, 'generate'),
    });
    this.world.deployment.pools.forEach((pool) => this.drainStage(pool.stage));
    this.pump();
    this.admission.expire(this.nowMs()).forEach((run) => this.finish(run, 'refused', TICK_MS));
  }

  private poll(): void {
    const { events, deployment } = this.world;
    const nowMs = this.nowMs();
    events.at(nowMs + REPORT_POLL_MS, () => this.poll());
    deployment.pools.forEach((pool) => {
      this.world.listServers(pool.stage).forEach(({ serverId }) => this.pollServer(serverId));
      this.drainStage(pool.stage);
    });
    this.pump();
  }

  private pollServer(serverId: string): void {
    const server = this.world.findServer(serverId);
    if (server.crashed) {
      return;
    }
    this.book.noteReport(serverId, server.report(), { hosts: this.hostCount(), nowMs: this.nowMs() });
  }
}

type RegionPlace = LoadWorld['deployment']['failureDomains'][number];

/** Creates one entry host. */
export default function createHostModel(world: LoadWorld, hostIndex: number): HostModel {
  return new Host(world, hostIndex);
}
