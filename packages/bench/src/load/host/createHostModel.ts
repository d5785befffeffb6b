import {
  createAdmission,
  createByteBudget,
  createExtraBudget,
  createPoolTracker,
  MAX_PARALLEL_ATTEMPTS,
  rankUrgency,
  type PlannedStage,
} from '@bergamotcove/decide';
import {
  createPoolQueues,
  createPrefixHints,
  type PoolQueues,
  type PrefixHints,
  type SlowVerdict,
} from '@bergamotcove/entry';
import createEventClock from '../_lib/createEventClock.js';
import createRandomSource from '../_lib/createRandomSource.js';
import {
  BYTES_PER_MESSAGE,
  BYTES_PER_TOKEN,
  HEDGE_BUDGET,
  LINK_SHARE,
  NO_LIMIT_PER_SECOND,
  OVERLOAD_WAIT_MS,
  PUMP_MS,
  RELEASE_WINDOW,
  REPORT_POLL_MS,
  RETRY_BUDGET,
  SURE_TIME_SHARE,
  TICK_MS,
} from '../constants.js';
import type { Arrival, LoadStage, RequestRecord } from '../types.js';
import createAttemptSender, { type AttemptSender } from './createAttemptSender.js';
import createHostEstimates, { type HostEstimates } from './createHostEstimates.js';
import createRunState from './createRunState.js';
import createServerPicker, { type Pick, type PickFacts, type ServerPicker } from './createServerPicker.js';
import type { AttemptState, LoadWorld, QueueEntry, RunState } from './types.js';

/** One entry host in virtual time. */
export interface HostModel {
  accept(arrival: Arrival): void;
}

const dropWaiting = (dropped: QueueEntry): void => {
  const { run } = dropped;
  run.waiting = run.waiting.filter((entry) => entry !== dropped);
};

class Host implements HostModel {
  private readonly book = createPoolTracker();

  private readonly admission = createAdmission<RunState>();

  private readonly queues: PoolQueues;

  private readonly retries = createExtraBudget(RETRY_BUDGET);

  private readonly hedges = createExtraBudget(HEDGE_BUDGET);

  private readonly hostEstimates: HostEstimates;

  private readonly prefixes: PrefixHints;

  private readonly picker: ServerPicker;

  private readonly sender: AttemptSender;

  private readonly factors = new Map<string, number>();

  private pumping = false;

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
    this.queues = createPoolQueues(createEventClock(events));
    this.hostEstimates = createHostEstimates(world, (plan) => this.factors.get(plan.requestId) ?? 1);
    this.prefixes = this.createPrefixes(place.region);
    this.picker = createServerPicker({ world, place, book: this.book, bytes, prefixes: this.prefixes, random });
    this.sender = createAttemptSender({
      world,
      place,
      book: this.book,
      hostEstimates: this.hostEstimates,
      prefixes: this.prefixes,
      onTokens: (attempt) => this.handleTokens(attempt),
      onSlow: (attempt, verdict) => this.handleSlow(attempt, verdict),
      onAnswered: (attempt) => this.handleAnswer(attempt),
      onLost: (attempt) => this.handleLoss(attempt),
    });
    events.at(random() * REPORT_POLL_MS, () => this.poll());
    events.at(random() * TICK_MS, () => this.expire());
  }

  accept(arrival: Arrival): void {
    if (arrival.estimateFactor !== 1) {
      this.factors.set(String(arrival.id), arrival.estimateFactor);
    }
    const run = createRunState(arrival, this.hostEstimates, this.nowMs());
    if (!this.world.policy.admission) {
      run.admitted = true;
      this.startStage(run);
      return;
    }
    this.world.events.at(run.deadlineAtMs, () => this.passDeadline(run));
    const tokensPerSecond =
      (this.world.scenario.tokensPerSecondLimit ?? NO_LIMIT_PER_SECOND) / this.world.deployment.entryHosts;
    const share = { requestsPerSecond: NO_LIMIT_PER_SECOND, tokensPerSecond };
    const decision = this.admission.offer(run, share, this.nowMs());
    if (decision.type === 'refused') {
      this.finish(run, 'refused', decision.retryAfterMs);
    } else {
      this.pump();
    }
  }

  private createPrefixes(region: string): PrefixHints {
    const { world, book } = this;
    const listPool = (pool: string) => world.listServers(pool as LoadStage);
    return createPrefixHints({
      clock: createEventClock(world.events),
      directory: { listPool, msPerToken: (pool) => book.msPerToken(pool, listPool(pool), this.nowMs()) },
      estimates: this.hostEstimates.estimates,
      region,
    });
  }

  private nowMs(): number {
    return this.world.events.nowMs();
  }

  /** Releases admitted requests while few stages of this host wait for a server. */
  private pump(): void {
    while (this.queues.countShortWaiting() < RELEASE_WINDOW) {
      const released = this.admission.release(this.nowMs());
      if (released === undefined) {
        break;
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
    if (this.admission.length > 0 && !this.pumping) {
      this.pumping = true;
      this.world.events.at(this.nowMs() + PUMP_MS, () => {
        this.pumping = false;
        this.pump();
      });
    }
  }

  private startStage(started: RunState): void {
    const run = started;
    const stage = run.plan.stages[run.stageIndex];
    if (stage === undefined) {
      this.finish(run, 'answered');
      return;
    }
    run.stageAttempts = 0;
    this.startAttempt(run, stage);
  }

  private startAttempt(started: RunState, stage: PlannedStage): void {
    const run = started;
    const { estimates, typicalLeftMs } = this.hostEstimates;
    const tokens = estimates.stageTokens(run.plan, stage, run.arrivedTokens);
    const nowMs = this.nowMs();
    const latestStartAtMs = run.deadlineAtMs - typicalLeftMs(run);
    const entry: QueueEntry = {
      run,
      stage,
      pool: stage.kind,
      tokens,
      tryStart: () => this.tryStart(entry),
      long: this.isLong(run, stage, tokens),
      rank: this.world.policy.stageQueues
        ? rankUrgency({ latestStartAtMs, enqueuedAtMs: nowMs, priority: run.priority })
        : nowMs,
      avoidServers: [...run.avoidServers, ...run.attempts.map((attempt) => attempt.server.description.serverId)],
    };
    if (run.stageAttempts === 0) {
      this.retries.earn();
      this.hedges.earn();
    }
    run.stageAttempts += 1;
    run.waiting.push(entry);
    this.queues.enqueue(entry);
  }

  private isLong(run: RunState, stage: PlannedStage, tokens: number): boolean {
    return this.world.policy.longLimit && stage.kind === 'generate' && tokens >= run.plan.operation.longOutputTokens;
  }

  /** No work is done for a request that misses its deadline anyway. */
  private isHopeless(run: RunState): boolean {
    const remainingMs = run.deadlineAtMs - this.nowMs();
    return this.world.policy.stageQueues && remainingMs < this.hostEstimates.typicalLeftMs(run) * SURE_TIME_SHARE;
  }

  private tryStart(entry: QueueEntry): boolean {
    const { run } = entry;
    if (this.isHopeless(run)) {
      dropWaiting(entry);
      if (run.attempts.length + run.waiting.length === 0) {
        this.finish(run, 'refused', TICK_MS);
      }
      return true;
    }
    const pick = this.picker.pick(this.pickFacts(entry, entry.avoidServers));
    if (pick.type === 'wait') {
      return false;
    }
    dropWaiting(entry);
    const { serverId } = pick.server;
    if (entry.stage.kind === 'generate') {
      this.prefixes.noteSent(run.plan, serverId);
    }
    const server = this.world.findServer(serverId);
    run.attempts.push(this.sender.send({ entry, server, crossRegion: pick.crossRegion }));
    return true;
  }

  private pickFacts(
    entry: Omit<QueueEntry, 'pool' | 'rank' | 'avoidServers' | 'tryStart'>,
    avoidServers: readonly string[],
  ): PickFacts {
    const { run, stage, tokens, long } = entry;
    return {
      run,
      stage,
      tokens,
      long,
      remainingMs: this.hostEstimates.stageShareMs(run),
      avoidServers,
      localOverloaded: this.admission.waitMs(this.nowMs()) > OVERLOAD_WAIT_MS,
      bytes: {
        requestBytes: run.arrival.operation.inputBytes + BYTES_PER_MESSAGE,
        replyBytes: BYTES_PER_MESSAGE + (stage.kind === 'generate' ? tokens * BYTES_PER_TOKEN : 0),
      },
    };
  }

  /** The first attempt that delivers a token produces the whole answer; the others are cancelled. */
  private handleTokens(attempt: AttemptState): void {
    const { run } = attempt;
    const nowMs = this.nowMs();
    const tokens = attempt.resumeTokens + attempt.seenTokens;
    if (tokens > run.arrivedTokens) {
      run.arrivedTokens = tokens;
      run.firstTokenAtMs ??= nowMs;
      run.lastTokenAtMs = nowMs;
      this.cancelOthers(run, attempt);
    }
  }

  private cancelOthers(cancelled: RunState, kept?: AttemptState): void {
    const run = cancelled;
    const { waiting, attempts } = run;
    run.waiting = [];
    run.attempts = attempts.filter((attempt) => attempt === kept);
    waiting.forEach((entry) => this.queues.remove(entry));
    attempts
      .filter((attempt) => attempt !== kept)
      .forEach((attempt) => {
        this.sender.cancel(attempt);
        this.queues.drain(attempt.stage);
      });
  }

  private handleSlow(slow: AttemptState, verdict: Exclude<SlowVerdict, 'none'>): void {
    const attempt = slow;
    if (attempt.hedged || !this.world.policy.hedges || !this.isElsewhereFree(attempt)) {
      return;
    }
    if (!this.hedges.spend() && !this.retries.spend()) {
      return;
    }
    attempt.hedged = true;
    const { run } = attempt;
    const stage = run.plan.stages[run.stageIndex] as PlannedStage;
    if (verdict === 'hedge') {
      const open = run.attempts.length + run.waiting.length;
      if (stage.effect === 'repeatable' && open < MAX_PARALLEL_ATTEMPTS && run.arrivedTokens <= attempt.resumeTokens) {
        // As in the daemon, hedges and stalled attempts do not count against the limit.
        this.startAttempt(run, stage);
        run.stageAttempts -= 1;
      }
      return;
    }
    this.sender.cancel(attempt, { resumed: true });
    run.stageAttempts -= 1;
    this.queues.drain(attempt.stage);
    this.failAttempt(attempt, true);
  }

  private isElsewhereFree(attempt: AttemptState): boolean {
    const { run } = attempt;
    const stage = run.plan.stages[run.stageIndex] as PlannedStage;
    const { serverId } = attempt.server.description;
    const tokens = this.hostEstimates.estimates.stageTokens(run.plan, stage, attempt.resumeTokens);
    const long = this.isLong(run, stage, tokens);
    const avoidServers = [...run.avoidServers, serverId];
    const other: Pick = this.picker.find(this.pickFacts({ run, stage, tokens, long }, avoidServers));
    return other.type === 'send' && other.server.serverId !== serverId;
  }

  private handleAnswer(attempt: AttemptState): void {
    const { run } = attempt;
    this.cancelOthers(run, attempt);
    run.attempts = [];
    this.queues.drain(attempt.stage);
    run.stageIndex += 1;
    this.startStage(run);
    this.pump();
  }

  private handleLoss(attempt: AttemptState): void {
    this.queues.drain(attempt.stage);
    this.failAttempt(attempt, this.retries.spend());
  }

  private failAttempt(attempt: AttemptState, retryAllowed: boolean): void {
    const { run } = attempt;
    run.attempts = run.attempts.filter((other) => other !== attempt);
    run.avoidServers.push(attempt.server.description.serverId);
    if (run.finished || run.attempts.length + run.waiting.length > 0) {
      return;
    }
    const stage = run.plan.stages[run.stageIndex] as PlannedStage;
    const safe = stage.effect === 'repeatable' || !attempt.submitted;
    if (safe && retryAllowed && run.stageAttempts < run.plan.maxAttempts) {
      this.startAttempt(run, stage);
    } else {
      this.finish(run, 'failed');
    }
  }

  private passDeadline(run: RunState): void {
    if (!run.finished) {
      this.admission.remove(run);
      this.cancelOthers(run);
      this.finish(run, 'failed');
    }
  }

  private finish(finished: RunState, result: RequestRecord['result'], retryAfterMs?: number): void {
    const run = finished;
    run.finished = true;
    this.factors.delete(run.requestId);
    if (result === 'answered') {
      this.hostEstimates.estimates.learnRun(run.plan, this.nowMs() - run.releasedAtMs);
    }
    const { arrival, admitted, firstTokenAtMs, lastTokenAtMs } = run;
    const retry = retryAfterMs === undefined ? {} : { retryAfterMs };
    const stream = firstTokenAtMs === undefined || lastTokenAtMs === undefined ? {} : { firstTokenAtMs, lastTokenAtMs };
    this.world.record({ arrival, result, admitted, finishedAtMs: this.nowMs(), ...retry, ...stream });
  }

  private expire(): void {
    this.world.events.at(this.nowMs() + TICK_MS, () => this.expire());
    this.admission.expire(this.nowMs()).forEach((run) => this.finish(run, 'refused', TICK_MS));
  }

  private poll(): void {
    const { events, deployment } = this.world;
    events.at(this.nowMs() + REPORT_POLL_MS, () => this.poll());
    deployment.pools.forEach((pool) => {
      this.world.listServers(pool.stage).forEach(({ serverId }) => this.pollServer(serverId));
      this.queues.drain(pool.stage);
    });
    this.pump();
  }

  private pollServer(serverId: string): void {
    const server = this.world.findServer(serverId);
    if (!server.crashed) {
      this.book.noteReport(serverId, server.report(), { hosts: this.world.deployment.entryHosts, nowMs: this.nowMs() });
    }
  }
}

type RegionPlace = LoadWorld['deployment']['failureDomains'][number];

/** Creates one entry host. */
export default function createHostModel(world: LoadWorld, hostIndex: number): HostModel {
  return new Host(world, hostIndex);
}
