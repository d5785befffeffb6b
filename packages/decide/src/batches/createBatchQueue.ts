import type { BatchSpec } from '@bergamotcove/config';
import { exhaustive } from '@bergamotcove/errors';
import choosePieces from './_lib/choosePieces.js';
import findUnservable from './_lib/findUnservable.js';
import createNearbySlots from './_lib/createNearbySlots.js';
import mayRun from './_lib/mayRun.js';
import { recordBrokenCall, recordResults } from './_lib/recordResults.js';
import createPieceTimes from './_lib/createPieceTimes.js';
import {
  findHeldResult,
  learnSlowness,
  readFreeInMs,
  readRoom,
  readShares,
  readSlowness,
  backOffServer,
  type ServerState,
} from './_lib/serverState.js';
import pickServer from './_lib/pickServer.js';
import { countServers, predictFirstFreeMs, readSpeed, usualCallMs } from './_lib/poolCapacity.js';
import { addLoads, predictSpanMs, sumLoad } from './_lib/pieceLoad.js';
import rankJobs, { type RankedJobs } from './_lib/rankJobs.js';
import {
  createQueuedJob,
  isOpen,
  listPieces,
  mayBeSent,
  requeuePiece,
  takeBackPiece,
  type QueuedJob,
  type WaitingPiece,
} from './_lib/queuedJob.js';
import { readOverdueMs, type RunningCall } from './_lib/runningCall.js';
import updateServers from './_lib/updateServers.js';
import type {
  BatchJob,
  BatchPoolState,
  BatchStep,
  BatchQueueView,
  BatchServer,
  CallOutcome,
  JobFailure,
  JobResult,
  PieceOutcome,
  PlannedCall,
  SubmitDecision,
} from './types.js';

/** Queue of the pieces that wait for the stage servers of one pool and region. */
export interface BatchQueue {
  /** Queues a job, or refuses it if it would end after its expiry. */
  submit(job: BatchJob, nowMs: number): SubmitDecision;
  /** From now on, sends the pieces of a job in separate calls, one call at a time. */
  isolate(jobId: string): void;
  /** Removes a job whose request has ended; results of its running pieces are ignored. */
  cancel(jobId: string): void;
  /** Removes the jobs without any sent piece and returns their ids. */
  takeUnsent(): readonly string[];
  /** Replaces the servers that may be called; running calls at other servers continue. */
  setServers(servers: readonly BatchServer[], nowMs: number): void;
  /** Returns the calls to send now, and the jobs that end because they can no longer be done in time. */
  advance(nowMs: number): BatchStep;
  /** Records the outcome of a call and returns the jobs that end with it. */
  finish(callId: number, outcome: CallOutcome, nowMs: number): readonly JobResult[];
  /** Marks a result at a server as evictable when its room is needed. Its expiry tells it from others of the same size. */
  markEvictable(serverId: string, bytes: number, expiresAtMs?: number): void;
  /** Frees the room of a result that is no longer needed. */
  release(serverId: string, bytes: number, expiresAtMs?: number): void;
  /** Returns the monotonic time of the next `advance` if no other event precedes it, or undefined. */
  nextCheckMs(nowMs: number): number | undefined;
  view(nowMs: number): BatchQueueView;
  /** Returns the capacity of the servers for the admission of requests. */
  readState(nowMs: number): BatchPoolState;
}

/** A job fails when one of its pieces was sent this often without a result. */
const MAX_SENDS_PER_PIECE = 4;
/** Share of a predicted wait that is certain enough to end a job for it. */
const CERTAIN_WAIT_SHARE = 0.5;
/** A late job below the first rank ends after this wait while other jobs can be on time. */
const MAX_STARVED_WAIT_MS = 500;
const MIN_RETRY_AFTER_MS = 100;
/** Slowness assumed for a pool without servers, so that the cost of its jobs is large but finite. */
const MAX_POOL_SLOWNESS = 10;
/** Piece times are learnt only from calls that took less than this multiple of the usual time. */
const MAX_SAMPLE_FACTOR = 1.5;
/** Jobs whose results need more than this share of a server's room may be split over servers and calls. */
const LARGE_JOB_SHARE = 0.5;

class Queue implements BatchQueue {
  private readonly jobs = new Map<string, QueuedJob>();

  private readonly servers = new Map<string, ServerState>();

  private readonly unlisted = new Map<string, ServerState>();

  private readonly calls = new Map<number, RunningCall>();

  private readonly pieceTimes;

  private nextCallId = 1;

  constructor(private readonly spec: BatchSpec) {
    this.pieceTimes = createPieceTimes(spec);
  }

  submit(job: BatchJob, nowMs: number): SubmitDecision {
    const entry = createQueuedJob(job, nowMs);
    const entries = [...this.jobs.values(), entry];
    if (this.servers.size > 0 && this.latenessMs(entry, entries, nowMs) > 0) {
      const { onTime, late } = this.rank(entries, nowMs);
      const ahead = [...onTime, ...late.slice(0, late.indexOf(entry) + 1)];
      const lateMs = onTime.includes(entry) ? 0 : this.latenessMs(entry, ahead, nowMs);
      if (lateMs > 0) {
        return { type: 'refused', retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, lateMs) };
      }
    }
    this.jobs.set(job.jobId, entry);
    return { type: 'queued' };
  }

  cancel(jobId: string): void {
    this.jobs.delete(jobId);
  }

  isolate(jobId: string): void {
    const entry = this.jobs.get(jobId);
    if (entry !== undefined) {
      entry.isolated = true;
    }
  }

  takeUnsent(): readonly string[] {
    const unsent = [...this.jobs.values()].filter(({ sends }) => sends.every((count) => count === 0));
    const jobIds = unsent.map(({ job }) => job.jobId);
    jobIds.forEach((jobId) => this.jobs.delete(jobId));
    return jobIds;
  }

  setServers(servers: readonly BatchServer[], nowMs: number): void {
    updateServers({ listed: this.servers, unlisted: this.unlisted }, servers, nowMs);
  }

  /**
   * Assigns batches of the most urgent pieces to the servers that would finish them first. A batch for a busy server is
   * not sent yet, but it reserves its pieces, so that a free server that would finish later does not get them.
   */
  advance(nowMs: number): BatchStep {
    this.requeueOverdue(nowMs);
    const ranked = this.rank([...this.jobs.values()], nowMs);
    const refused = findUnservable(this.jobs, this.servers).map((jobId) => this.endJob(jobId, 'failed'));
    const ended = [...refused, ...this.expire(nowMs), ...this.endUnreachable(ranked, nowMs)];
    return { ended, calls: this.plan(ranked, nowMs) };
  }

  private plan({ onTime, late }: RankedJobs, nowMs: number): readonly PlannedCall[] {
    const { spec } = this;
    const candidates = new Set([...this.servers.values()].filter((state) => state.backoffUntilMs <= nowMs));
    const planned: PlannedCall[] = [];
    if (![...candidates].some(({ calls }) => calls.size < spec.parallelCalls)) {
      return planned;
    }
    const isIsolated = ({ jobId }: BatchJob): boolean => this.jobs.get(jobId)?.isolated ?? false;
    const open = [...onTime, ...late].filter((entry) => this.jobs.has(entry.job.jobId) && mayBeSent(entry));
    const waiting = listPieces(open);
    while (candidates.size > 0 && waiting.length > 0) {
      const state = pickServer([...candidates], waiting, { spec, workMsOf: (batch) => this.workMs(batch), nowMs });
      if (state === undefined) {
        break;
      }
      candidates.delete(state);
      const nearbySlots = createNearbySlots([...candidates], spec, nowMs);
      const runnable = waiting.filter(({ job }) => mayRun(job, state.server));
      const pieces = choosePieces(runnable, {
        maxPieces: spec.maxPieces,
        roomBytes: readRoom(state, spec, nowMs).usableBytes,
        reserveNearby: (job, pieceCount) => nearbySlots.reserve(job, pieceCount, state.server),
        mayBePartial: (job) => this.mayBePartial(job),
        isIsolated,
      });
      const chosen = new Set(pieces);
      const isolated = new Set(pieces.map(({ job }) => job).filter(isIsolated));
      waiting.splice(0, waiting.length, ...waiting.filter((piece) => !chosen.has(piece) && !isolated.has(piece.job)));
      if (pieces.length > 0 && state.calls.size < spec.parallelCalls) {
        planned.push(this.start(state, pieces, nowMs));
      }
    }
    return planned;
  }

  finish(callId: number, outcome: CallOutcome, nowMs: number): readonly JobResult[] {
    const call = this.calls.get(callId);
    if (call === undefined) {
      return [];
    }
    this.calls.delete(callId);
    call.state.calls.delete(callId);
    call.state.reservedBytes.delete(callId);
    if (outcome.type === 'limited') {
      call.state.backoffUntilMs = Math.max(call.state.backoffUntilMs, outcome.untilMs);
      call.pieces.forEach(({ job, piece }) => takeBackPiece(this.jobs.get(job.jobId), piece));
      return [];
    }
    if (outcome.type !== 'answered') {
      backOffServer(call.state, outcome.type, nowMs);
      if (outcome.type === 'broken') {
        recordBrokenCall(call, { spec: this.spec, nowMs });
      }
      return call.pieces.flatMap((piece) => this.settlePiece(piece, 'failed'));
    }
    const { state } = call;
    state.failures = 0;
    this.learnTimes(call, outcome, nowMs);
    recordResults(call, outcome.pieces, { spec: this.spec, nowMs });
    return call.pieces.flatMap((piece, index) => this.settlePiece(piece, outcome.pieces[index] ?? 'failed'));
  }

  private expire(nowMs: number): readonly JobResult[] {
    const expired = [...this.jobs.values()].filter(({ job }) => job.expiresAtMs <= nowMs);
    return expired.map(({ job }) => this.endJob(job.jobId, 'late'));
  }

  /**
   * Ends unsent jobs that would finish after their expiry behind the jobs ahead of them. Late jobs below the first rank
   * also end while others can be on time, because most would wait until they expire: their callers can retry sooner.
   */
  private endUnreachable({ onTime, late }: RankedJobs, nowMs: number): readonly JobResult[] {
    let ahead = sumLoad(onTime, this.pieceTimes);
    const freeInMs = readFreeInMs([...this.servers.values()], nowMs);
    return late.flatMap((entry) => {
      const load = addLoads(ahead, sumLoad([entry], this.pieceTimes));
      const begun = entry.sends.some((sends) => sends > 0);
      const waitMs =
        (freeInMs + predictSpanMs(load, this.spec, countServers([...this.servers.values()], this.spec))) *
        CERTAIN_WAIT_SHARE;
      const { jobId, expiresAtMs, priority } = entry.job;
      const starves = priority > 0 && onTime.length > 0 && nowMs - entry.submittedAtMs > MAX_STARVED_WAIT_MS;
      if (begun || (nowMs + waitMs <= expiresAtMs && !starves) || !this.jobs.has(jobId)) {
        ahead = load;
        return [];
      }
      return [this.endJob(jobId, starves ? 'overtaken' : 'late')];
    });
  }

  markEvictable(serverId: string, bytes: number, expiresAtMs?: number): void {
    const kept = this.findState(serverId)?.held.filter(({ evictable }) => !evictable) ?? [];
    const held = findHeldResult(kept, { bytes, expiresAtMs });
    if (held !== undefined) {
      held.evictable = true;
    }
  }

  release(serverId: string, bytes: number, expiresAtMs?: number): void {
    const held = this.findState(serverId)?.held ?? [];
    const released = findHeldResult(held, { bytes, expiresAtMs });
    held.splice(0, held.length, ...held.filter((result) => result !== released));
  }

  nextCheckMs(nowMs: number): number | undefined {
    const times = [
      ...[...this.jobs.values()].map(({ job }) => job.expiresAtMs),
      ...[...this.calls.values()].filter(({ overdue }) => !overdue).map(readOverdueMs),
      ...(this.jobs.size === 0 ? [] : [...this.servers.values()].map((state) => state.backoffUntilMs)),
    ].filter((atMs) => atMs > nowMs);
    return times.length === 0 ? undefined : Math.min(...times);
  }

  view(nowMs: number): BatchQueueView {
    const servers = [...this.servers.values()];
    const load = sumLoad([...this.jobs.values()], this.pieceTimes);
    return {
      ...readShares(servers, this.spec, nowMs),
      waitingPieces: load.pieces,
      runningCalls: this.calls.size,
      servers: servers.length,
      waitMs: readFreeInMs(servers, nowMs) + predictSpanMs(load, this.spec, countServers(servers, this.spec)),
    };
  }

  readState(nowMs: number): BatchPoolState {
    return { speed: readSpeed([...this.servers.values()], this.spec, nowMs), pieceMs: this.pieceTimes.list() };
  }

  private rank(entries: readonly QueuedJob[], nowMs: number): RankedJobs {
    const states = [...this.servers.values()];
    const speed = readSpeed(states, this.spec, nowMs);
    const callShareMs = this.spec.callMs / this.spec.maxPieces;
    return rankJobs(entries.filter(isOpen), {
      startMs: predictFirstFreeMs(states, this.spec, nowMs),
      callMs: usualCallMs(this.spec),
      costMs: (entry) => {
        const { pieces, workMs } = sumLoad([entry], this.pieceTimes);
        return (pieces * callShareMs + workMs) / Math.max(speed, 1 / MAX_POOL_SLOWNESS);
      },
    });
  }

  /** Whether a call may hold a part of a job: it was sent in part before, or is too large to wait for enough room. */
  private mayBePartial({ jobId, pieceCount, resultBytes }: BatchJob): boolean {
    const begun = this.jobs.get(jobId)?.sends.some((count) => count > 0) ?? false;
    return begun || pieceCount * resultBytes > this.spec.resultMemoryBytes * LARGE_JOB_SHARE;
  }

  private start(state: ServerState, pieces: readonly WaitingPiece[], nowMs: number): PlannedCall {
    const callId = this.nextCallId;
    this.nextCallId += 1;
    const expectedMs = (this.spec.callMs + this.workMs(pieces)) * readSlowness(state, nowMs);
    pieces.forEach(({ job, piece }) => {
      const entry = this.jobs.get(job.jobId) as QueuedJob;
      entry.pieces[piece] = 'running';
      entry.sends[piece] = (entry.sends[piece] ?? 0) + 1;
    });
    state.calls.set(callId, nowMs + expectedMs);
    const refs = pieces.map(({ job, piece }) => ({ jobId: job.jobId, piece, resultBytes: job.resultBytes }));
    this.calls.set(callId, { state, server: state.server, pieces, sentAtMs: nowMs, expectedMs, overdue: false });
    const neededBytes = pieces.reduce((sum, { job }) => sum + job.resultBytes, 0);
    const needsEviction = neededBytes > readRoom(state, this.spec, nowMs).freeBytes;
    state.reservedBytes.set(callId, neededBytes);
    return { callId, serverId: state.server.serverId, pieces: refs, expectedMs, needsEviction };
  }

  /** Requeues the pieces of overdue calls, so that another server may process them; the first result counts. */
  private requeueOverdue(nowMs: number): void {
    [...this.calls.values()]
      .filter((call) => !call.overdue && readOverdueMs(call) <= nowMs)
      .forEach((call) => {
        const overdueCall = call;
        overdueCall.overdue = true;
        learnSlowness(call.state, (nowMs - call.sentAtMs) / (call.expectedMs / readSlowness(call.state, nowMs)), nowMs);
        call.pieces.forEach(({ job, piece }) => requeuePiece(this.jobs.get(job.jobId)?.pieces, piece));
      });
  }

  /** Applies the outcome of a piece and returns the job that ends with it. */
  private settlePiece(ref: WaitingPiece, outcome: PieceOutcome): readonly JobResult[] {
    const { jobId } = ref.job;
    const entry = this.jobs.get(jobId);
    if (entry === undefined || entry.pieces[ref.piece] === 'done') {
      return [];
    }
    switch (outcome) {
      case 'done':
        entry.pieces[ref.piece] = 'done';
        return entry.pieces.every((state) => state === 'done') ? [this.endJob(jobId)] : [];
      case 'late':
      case 'input-gone':
        return [this.endJob(jobId, outcome)];
      case 'no-room':
      case 'failed':
        requeuePiece(entry.pieces, ref.piece);
        return (entry.sends[ref.piece] ?? 0) >= MAX_SENDS_PER_PIECE ? [this.endJob(jobId, 'failed')] : [];
      default:
        return exhaustive(outcome);
    }
  }

  private endJob(jobId: string, reason?: JobFailure): JobResult {
    this.jobs.delete(jobId);
    return reason === undefined ? { jobId, type: 'done' } : { jobId, type: 'failed', reason };
  }

  private learnTimes(call: RunningCall, outcome: Extract<CallOutcome, { type: 'answered' }>, nowMs: number): void {
    const usualMs = this.spec.callMs + this.workMs(call.pieces);
    learnSlowness(call.state, outcome.totalMs / usualMs, nowMs);
    if (outcome.pieces.every((piece) => piece === 'done') && outcome.totalMs < usualMs * MAX_SAMPLE_FACTOR) {
      const kinds = call.pieces.map(({ job }) => job.kind);
      this.pieceTimes.learn(kinds, Math.max(0, outcome.totalMs - this.spec.callMs));
    }
  }

  private findState(serverId: string): ServerState | undefined {
    return this.servers.get(serverId) ?? this.unlisted.get(serverId);
  }

  private workMs(pieces: readonly WaitingPiece[]): number {
    return pieces.reduce((sum, { job }) => sum + this.pieceTimes.read(job.kind), 0);
  }

  /** Returns by how many ms a job would end after its expiry if it is served with and after the given jobs. */
  private latenessMs(entry: QueuedJob, ahead: readonly QueuedJob[], nowMs: number): number {
    const states = [...this.servers.values()];
    const spanMs = predictSpanMs(sumLoad(ahead, this.pieceTimes), this.spec, countServers(states, this.spec));
    return nowMs + readFreeInMs(states, nowMs) + spanMs - entry.job.expiresAtMs;
  }
}

/**
 * Creates the queue of one pool and region.
 *
 * @param spec - batch settings of the pool
 * @returns the queue
 * @example
 * queue.submit(job, nowMs);
 * queue.advance(nowMs).calls.forEach((call) => send(call));
 */
export default function createBatchQueue(spec: BatchSpec): BatchQueue {
  return new Queue(spec);
}
