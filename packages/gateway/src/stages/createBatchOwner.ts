import type { Timer } from '@bergamotcove/clock';
import {
  createBatchQueue,
  type BatchQueue,
  type CallOutcome,
  type JobResult,
  type PlannedCall,
  type SendDecision,
} from '@bergamotcove/decide';
import type { PieceAnswer } from '../ports.js';
import type { BatchOwner, BatchOwnerOptions } from './BatchOwner.js';
import callWithCrashWatch from './callWithCrashWatch.js';
import createResultRegistry, { type StoredResult } from './createResultRegistry.js';
import createResultReleaser, { type ResultReleaser } from './createResultReleaser.js';
import createPieceItem from './createPieceItem.js';
import locateInputs from './locateInputs.js';
import type { StageJob, StageJobResult } from './messages.js';
import { reportCall, reportOutcome } from './reportCall.js';

interface OpenJob {
  readonly job: StageJob;
  readonly expiresAtMs: number;
  readonly results: (string | undefined)[];
  /** Number of pieces whose call has started. */
  startedPieces: number;
  readonly resolve: (result: StageJobResult) => void;
}

/** Time after the start of a call by which the server has fetched its inputs. */
const INPUT_FETCH_MS = 50;
/** Time after a change of owner by which the calls of the previous owner have ended. */
const TAKEOVER_MS = 1_000;
/** Minimum interval between two advances of the queue; at peak load many jobs arrive and end within it. */
const MIN_ADVANCE_INTERVAL_MS = 5;
/** Minimum interval between reports to the scheduler. */
const MIN_REPORT_INTERVAL_MS = 300;
const FAILURE_RETRY_AFTER_MS = 500;

class Owner implements BatchOwner {
  private readonly queue: BatchQueue;

  private readonly jobs = new Map<string, OpenJob>();

  private readonly storedResults = createResultRegistry();

  private timer: Timer | undefined;

  private closed = false;

  private reportedAtMs = -Infinity;

  private advancedAtMs = -Infinity;

  /** Whether the timer is set to the end of the minimum interval. */
  private advanceScheduled = false;

  private ownerSinceMs: number;

  private readonly releaser: ResultReleaser;

  constructor(private readonly options: BatchOwnerOptions) {
    this.releaser = createResultReleaser(options);
    this.queue = createBatchQueue(options.spec);
    this.ownerSinceMs = options.clock.monotonicMs();
    this.refresh();
  }

  run(job: StageJob): Promise<StageJobResult> {
    const blockMs = this.options.crashes.readBlockMs(job.fingerprint);
    if (blockMs !== undefined) {
      return Promise.resolve({ type: 'failed', reason: 'poisoned', retryAfterMs: blockMs });
    }
    const evacuated = this.findEvacuated();
    if (evacuated !== undefined) {
      return Promise.resolve(evacuated);
    }
    const nowMs = this.options.clock.monotonicMs();
    this.ownerSinceMs = Math.min(this.ownerSinceMs, nowMs);
    const { jobId, kind, priority, value, progress, resultBytes, pieceCount, homeRegions } = job;
    const expiresAtMs = nowMs + job.expiresInMs;
    const decision = this.queue.submit(
      {
        jobId,
        kind,
        priority,
        value,
        progress,
        resultBytes,
        ...locateInputs(job, (result) => this.releaser.findServer(result)?.failureDomain),
        pieceCount,
        dueAtMs: nowMs + job.dueInMs,
        expiresAtMs,
        homeRegions,
      },
      nowMs,
    );
    if (decision.type === 'refused') {
      return Promise.resolve({ type: 'failed', reason: 'refused', retryAfterMs: decision.retryAfterMs });
    }
    return new Promise((resolve) => {
      this.jobs.set(jobId, {
        job,
        expiresAtMs,
        results: new Array<undefined>(pieceCount).fill(undefined),
        startedPieces: 0,
        resolve,
      });
      this.isolateSuspects([jobId]);
      this.requestAdvance();
    });
  }

  cancel(jobId: string): void {
    this.abortJob(jobId, { type: 'failed', reason: 'failed', retryAfterMs: 0 });
  }

  block(fingerprint: string): void {
    const retryAfterMs = this.options.crashes.readBlockMs(fingerprint) ?? 0;
    [...this.jobs]
      .filter(([, { job }]) => job.fingerprint === fingerprint)
      .forEach(([jobId]) => this.abortJob(jobId, { type: 'failed', reason: 'poisoned', retryAfterMs }));
  }

  handOver(): void {
    this.ownerSinceMs = Infinity;
    this.queue.takeUnsent().forEach((jobId) => {
      const open = this.jobs.get(jobId);
      this.jobs.delete(jobId);
      open?.resolve({ type: 'failed', reason: 'moved', retryAfterMs: 0 });
    });
  }

  release(results: readonly string[]): void {
    const byServer = new Map<string, { readonly results: string[]; readonly stored: StoredResult[] }>();
    results.forEach((result) => {
      const stored = this.storedResults.take(result);
      // Results of calls of a previous owner use memory as well.
      const serverId = stored?.serverId ?? this.releaser.findServer(result)?.serverId;
      if (serverId !== undefined) {
        const released = byServer.get(serverId) ?? { results: [], stored: [] };
        byServer.set(serverId, released);
        released.results.push(result);
        released.stored.push(...(stored === undefined ? [] : [stored]));
      }
    });
    byServer.forEach(({ results: released, stored }, serverId) => {
      // The memory counts as free once the server has answered: a call may overtake the release.
      this.releaser.release(serverId, released).then(() => {
        stored.forEach(({ resultBytes, expiresAtMs }) => this.queue.release(serverId, resultBytes, expiresAtMs));
        this.requestAdvance();
      });
    });
  }

  markEvictable(results: readonly string[]): void {
    results.forEach((result) => {
      const stored = this.storedResults.markEvictable(result);
      if (stored !== undefined) {
        this.queue.markEvictable(stored.serverId, stored.resultBytes, stored.expiresAtMs);
      }
    });
    this.requestAdvance();
  }

  refresh(): void {
    const { directory, limits, pool, region, clock } = this.options;
    const servers = directory.listNear(pool, region).map((server) => {
      const { serverId } = server;
      const restsUntilMs = Math.max(directory.readBackoffEndMs(serverId), limits.closedUntilMs(serverId));
      return { ...server, restsUntilMs, callIntervalMs: limits.readIntervalMs(serverId) };
    });
    this.queue.setServers(servers, clock.monotonicMs());
    const evacuated = this.findEvacuated();
    if (evacuated !== undefined) {
      this.queue.takeUnsent().forEach((jobId) => this.abortJob(jobId, evacuated));
    }
    this.requestAdvance();
  }

  close(): void {
    this.closed = true;
    this.timer?.close();
  }

  /** The result of jobs that cannot be run, because all servers of the pool are in evacuated failure domains. */
  private findEvacuated(): StageJobResult | undefined {
    const { directory, pool } = this.options;
    return directory.isEvacuated(pool)
      ? { type: 'failed', reason: 'refused', retryAfterMs: directory.readBackoffRemainingMs(pool) ?? 0 }
      : undefined;
  }

  /** Advances the queue now, or at the end of the minimum interval since the last advance. */
  private requestAdvance(): void {
    const nowMs = this.options.clock.monotonicMs();
    const allowedAtMs = this.advancedAtMs + MIN_ADVANCE_INTERVAL_MS;
    if (this.closed) {
      return;
    }
    if (nowMs >= allowedAtMs) {
      this.advance(nowMs);
    } else if (!this.advanceScheduled) {
      this.advanceScheduled = true;
      this.setTimer(allowedAtMs - nowMs);
    }
  }

  /** Sends the calls that are due, ends expired jobs, and sets the timer to the next check that the queue asks for. */
  private advance(nowMs: number): void {
    this.advancedAtMs = nowMs;
    this.advanceScheduled = false;
    const { ended, calls } = this.queue.advance(nowMs);
    this.resolveJobs(ended);
    calls.forEach((call) => {
      this.sendCall(call).then(
        (outcome) => this.finishCall(call, outcome),
        () => this.finishCall(call, { type: 'broken' }),
      );
    });
    if (!this.advanceScheduled) {
      const checkAtMs = this.queue.nextCheckMs(nowMs);
      this.setTimer(checkAtMs === undefined ? undefined : checkAtMs - nowMs + 1);
    }
  }

  private setTimer(inMs: number | undefined): void {
    const { clock } = this.options;
    const advance = (): void => this.advance(clock.monotonicMs());
    this.timer?.close();
    this.timer = inMs === undefined ? undefined : clock.schedule(inMs, advance);
  }

  private async sendCall(call: PlannedCall): Promise<CallOutcome> {
    const { clock, directory, pool } = this.options;
    const server = directory.find(call.serverId);
    const sentAtMs = clock.monotonicMs();
    if (server === undefined) {
      return { type: 'broken' };
    }
    const items = call.pieces.map(({ jobId, piece }) => {
      const { job, expiresAtMs } = this.jobs.get(jobId) as OpenJob;
      return createPieceItem(job, piece, expiresAtMs - sentAtMs);
    });
    if (call.needsEviction) {
      await this.evictResults(call.serverId);
    }
    const permittedAtMs = clock.monotonicMs();
    const permission = await this.takeSend(call);
    if (permission.type === 'later') {
      return { type: 'limited', untilMs: permission.atMs };
    }
    this.noteStarted(call);
    const { expectedMs } = call;
    const stageCall = { items, fingerprints: this.listFingerprints(call), expectedMs, permittedAtMs };
    const answer = await callWithCrashWatch(server, stageCall, this.options);
    if (answer === 'not-permitted') {
      return { type: 'limited', untilMs: clock.monotonicMs() };
    }
    const { status, answers, totalMs } = answer;
    const pieces = answers?.map(({ type }) => type);
    reportCall({ pool, call, totalMs, status, pieces, view: this.queue.view(clock.monotonicMs()) }, this.options);
    if (answers === undefined || pieces === undefined) {
      return { type: 'refused' };
    }
    this.storeResults(call, answers, server.serverId);
    return { type: 'answered', pieces, totalMs };
  }

  /** Asks for permission to send a call; a server without a rate limit needs none. */
  private async takeSend({ serverId, callId }: PlannedCall): Promise<SendDecision> {
    const { limits, pool } = this.options;
    if (!limits.isLimited(serverId)) {
      return { type: 'granted', serverId };
    }
    const decision = await limits.take({ queue: pool, key: `call ${callId}`, serverIds: [serverId] });
    this.refresh();
    return decision;
  }

  /**
   * Makes the inputs of a job evictable once the calls of all its pieces have started: a server fetches them at the
   * start of a call. They are kept while there is memory, because a piece that fails needs them again.
   */
  private noteStarted(call: PlannedCall): void {
    call.pieces.forEach(({ jobId }) => {
      const open = this.jobs.get(jobId);
      if (open === undefined) {
        return;
      }
      open.startedPieces += 1;
      if (open.startedPieces < open.job.pieceCount || open.job.inputs.length === 0 || !this.isTakeoverComplete()) {
        return;
      }
      this.options.clock.schedule(INPUT_FETCH_MS, () => {
        open.job.inputs.forEach((input) => this.options.markInputsEvictable(input));
      });
    });
  }

  /** Whether the previous owner's calls have ended, so that the calls of this owner start when they arrive. */
  private isTakeoverComplete(): boolean {
    return this.options.clock.monotonicMs() - this.ownerSinceMs > TAKEOVER_MS;
  }

  private storeResults(call: PlannedCall, answers: readonly PieceAnswer[], serverId: string): void {
    const nowMs = this.options.clock.monotonicMs();
    const unused: string[] = [];
    call.pieces.forEach(({ jobId, piece, resultBytes }, index) => {
      const answer = answers[index];
      if (answer?.type !== 'done') {
        return;
      }
      const open = this.jobs.get(jobId);
      const expiresAtMs = nowMs + this.options.spec.keepResultMs;
      this.storedResults.add(answer.result, { serverId, resultBytes, expiresAtMs }, nowMs);
      if (open === undefined || open.results[piece] !== undefined) {
        unused.push(answer.result);
      } else {
        open.results[piece] = answer.result;
      }
    });
    if (unused.length > 0) {
      this.options.clock.schedule(0, () => this.release(unused));
    }
  }

  private finishCall(call: PlannedCall, outcome: CallOutcome): void {
    reportOutcome({ pool: this.options.pool, call, outcome }, this.options);
    const nowMs = this.options.clock.monotonicMs();
    this.resolveJobs(this.queue.finish(call.callId, outcome, nowMs));
    if (outcome.type === 'broken') {
      this.isolateSuspects(call.pieces.map(({ jobId }) => jobId));
    }
    this.requestAdvance();
    if (nowMs - this.reportedAtMs >= MIN_REPORT_INTERVAL_MS) {
      this.reportedAtMs = nowMs;
      this.options.onState(this.queue.readState(nowMs));
    }
  }

  private resolveJobs(ended: readonly JobResult[]): void {
    ended.forEach((result) => {
      const open = this.jobs.get(result.jobId);
      this.jobs.delete(result.jobId);
      if (open === undefined) {
        return;
      }
      if (result.type === 'done') {
        open.resolve({ type: 'done', results: open.results as string[] });
      } else {
        open.resolve({ type: 'failed', reason: result.reason, retryAfterMs: FAILURE_RETRY_AFTER_MS });
        this.releaseJobResults(open);
      }
    });
  }

  private abortJob(jobId: string, result: StageJobResult): void {
    this.queue.cancel(jobId);
    const open = this.jobs.get(jobId);
    this.jobs.delete(jobId);
    open?.resolve(result);
    this.releaseJobResults(open);
  }

  /** Fingerprints of the requests of a call whose jobs are still open. */
  private listFingerprints(call: PlannedCall): readonly string[] {
    return [...new Set(call.pieces.flatMap(({ jobId }) => this.jobs.get(jobId)?.job.fingerprint ?? []))];
  }

  /** Sends each suspect alone: when a call with several requests crashes a server, this shows which one caused it. */
  private isolateSuspects(jobIds: readonly string[]): void {
    jobIds
      .filter((jobId) => this.options.crashes.isSuspect(this.jobs.get(jobId)?.job.fingerprint ?? ''))
      .forEach((jobId) => this.queue.isolate(jobId));
  }

  private releaseJobResults(open: OpenJob | undefined): void {
    this.release((open?.results ?? []).filter((result) => result !== undefined));
  }

  /** Releases all evictable results at a server before a call that needs their memory. */
  private async evictResults(serverId: string): Promise<void> {
    const evicted = this.storedResults.takeEvictable(serverId);
    evicted.forEach(({ resultBytes, expiresAtMs }) => this.queue.release(serverId, resultBytes, expiresAtMs));
    await this.releaser.release(serverId, [...evicted.keys()], { isUrgent: true });
  }
}

/**
 * Creates the batch owner of one pool.
 *
 * @param options - server directory, call format, and batch settings of the pool
 * @returns the owner; close it to stop its timer
 */
export default function createBatchOwner(options: BatchOwnerOptions): BatchOwner {
  return new Owner(options);
}
