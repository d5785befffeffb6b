import type { BatchSpec } from '@bergamotcove/config';
import createBatchQueue from '../batches/createBatchQueue.js';
import type { BatchJob, JobResult, PlannedCall } from '../batches/types.js';
import createStageServerModel, { type StageServerModel } from './createStageServerModel.js';
import type { VirtualTime } from './createVirtualTime.js';

/** Results of a stage, with the owner model that releases them. */
export interface ModelResults {
  readonly owner: OwnerModel;
  readonly resultIds: readonly string[];
}

/** Model of a batch owner with its stage servers and the delays of messages. */
export interface OwnerModel {
  readonly counts: { pieces: number; noRoom: number; calls: number };
  /** Runs a job; `onEnd` gets its results, or undefined if it failed. */
  run(job: BatchJob, inputs: readonly ModelResults[], onEnd: (results: ModelResults | undefined) => void): void;
  cancel(jobId: string): void;
  markEvictable(resultIds: readonly string[]): void;
  release(resultIds: readonly string[]): void;
  setServers(count: number): void;
  readState(): { readonly speed: number; readonly pieceMs: Readonly<Record<string, number>> };
  readonly serverCount: number;
}

/** Options of {@link createOwnerModel}. */
export interface OwnerModelOptions {
  readonly spec: BatchSpec;
  readonly servers: number;
  readonly time: VirtualTime;
  readonly random: () => number;
  /** Mean delay of a message. */
  readonly latencyMs: number;
  /** Largest relative difference between the size of a result and the expected one. */
  readonly sizeError: number;
  /** Share of the calls whose connection breaks while the server goes on. */
  readonly brokenShare?: number;
  /** Whether a result counts as freed when its release is answered, rather than when it is sent. */
  readonly freesOnAnswer?: boolean;
  /** Whether the owner knows the size of results whose job has ended. */
  readonly knowsSizes?: boolean;
}

interface Stored {
  readonly serverId: string;
  readonly resultBytes: number;
  readonly expiresAtMs: number;
  evictable: boolean;
}

interface OpenJob {
  readonly job: BatchJob;
  readonly inputs: readonly ModelResults[];
  readonly results: (string | undefined)[];
  started: number;
  readonly onEnd: (results: ModelResults | undefined) => void;
}

const INPUT_FETCH_MS = 50;

class Model implements OwnerModel {
  readonly counts = { pieces: 0, noRoom: 0, calls: 0 };

  serverCount = 0;

  private readonly queue;

  private readonly servers = new Map<string, StageServerModel>();

  private readonly jobs = new Map<string, OpenJob>();

  private readonly stored = new Map<string, Stored>();

  private resultCount = 0;

  private checks = 0;

  constructor(private readonly options: OwnerModelOptions) {
    this.queue = createBatchQueue(options.spec);
    this.setServers(options.servers);
  }

  run(job: BatchJob, inputs: readonly ModelResults[], onEnd: OpenJob['onEnd']): void {
    if (this.queue.submit(job, this.options.time.nowMs).type === 'refused') {
      onEnd(undefined);
      return;
    }
    this.jobs.set(job.jobId, {
      job,
      inputs,
      results: new Array<undefined>(job.pieceCount).fill(undefined),
      started: 0,
      onEnd,
    });
    this.advance();
  }

  cancel(jobId: string): void {
    this.queue.cancel(jobId);
    this.end(jobId, undefined);
  }

  markEvictable(resultIds: readonly string[]): void {
    resultIds.forEach((id) => {
      const stored = this.stored.get(id);
      if (stored !== undefined && !stored.evictable) {
        stored.evictable = true;
        this.queue.markEvictable(stored.serverId, stored.resultBytes, stored.expiresAtMs);
      }
    });
    this.advance();
  }

  release(resultIds: readonly string[]): void {
    const byServer = new Map<string, string[]>();
    const freed: Stored[] = [];
    resultIds.forEach((id) => {
      const stored = this.stored.get(id);
      if (stored !== undefined) {
        this.stored.delete(id);
        freed.push(stored);
        byServer.set(stored.serverId, [...(byServer.get(stored.serverId) ?? []), id]);
      }
    });
    byServer.forEach((ids, serverId) => this.later(() => this.servers.get(serverId)?.release(ids)));
    const free = (): void => {
      this.freeRoom(freed);
      this.advance();
    };
    if (this.options.freesOnAnswer === true) {
      this.options.time.schedule(2 * this.options.latencyMs, free);
    } else {
      free();
    }
  }

  setServers(count: number): void {
    this.serverCount = count;
    const ids = Array.from({ length: count }, (_, index) => `s${index}`);
    ids.forEach((id) => {
      if (!this.servers.has(id)) {
        this.servers.set(id, createStageServerModel(this.options.spec, this.options.time));
      }
    });
    this.queue.setServers(
      ids.map((serverId, index) => ({ serverId, failureDomain: `d${index % 3}` })),
      this.options.time.nowMs,
    );
    this.advance();
  }

  readState() {
    return this.queue.readState(this.options.time.nowMs);
  }

  private later(run: () => void): void {
    this.options.time.schedule(this.options.latencyMs * (0.5 + this.options.random()), run);
  }

  private advance(): void {
    const { time } = this.options;
    const { ended, calls } = this.queue.advance(time.nowMs);
    this.endAll(ended);
    calls.forEach((call) => this.send(call));
    this.checks += 1;
    const check = this.checks;
    const atMs = this.queue.nextCheckMs(time.nowMs);
    if (atMs !== undefined) {
      time.schedule(atMs - time.nowMs + 1, () => {
        if (check === this.checks) {
          this.advance();
        }
      });
    }
  }

  private send(call: PlannedCall): void {
    const { latencyMs, random, sizeError, time, spec, brokenShare = 0 } = this.options;
    const jobs = call.pieces.map(({ jobId }) => this.jobs.get(jobId) as OpenJob);
    jobs.forEach((open) => this.noteStarted(open));
    const pieces = jobs.map(({ job }) => {
      this.resultCount += 1;
      const bytes = job.resultBytes * (1 + (2 * random() - 1) * sizeError);
      return { resultId: `x${this.resultCount}`, pieceMs: spec.pieceMs, bytes };
    });
    this.counts.calls += 1;
    this.counts.pieces += pieces.length;
    if (call.needsEviction) {
      this.evict(call.serverId);
    }
    const breaks = random() < brokenShare;
    if (breaks) {
      time.schedule(call.expectedMs / 2, () =>
        this.finish(() => this.queue.finish(call.callId, { type: 'broken' }, time.nowMs)),
      );
    }
    const sentAtMs = time.nowMs;
    const arrive = (): void =>
      this.servers.get(call.serverId)?.call(pieces, (outcomes) => {
        this.counts.noRoom += outcomes.filter((outcome) => outcome === 'no-room').length;
        if (!breaks) {
          this.later(() =>
            this.finish(() => {
              this.store(
                call,
                jobs,
                pieces.map(({ resultId }, index) => (outcomes[index] === 'done' ? resultId : undefined)),
              );
              const totalMs = time.nowMs - sentAtMs;
              return this.queue.finish(call.callId, { type: 'answered', pieces: outcomes, totalMs }, time.nowMs);
            }),
          );
        }
      });
    time.schedule(call.needsEviction ? 2 * latencyMs : 0, () => this.later(arrive));
  }

  private finish(record: () => readonly JobResult[]): void {
    this.endAll(record());
    this.advance();
  }

  private store(call: PlannedCall, jobs: readonly OpenJob[], resultIds: readonly (string | undefined)[]): void {
    const unused: string[] = [];
    // The oldest results come first.
    for (const [id, { expiresAtMs }] of this.stored) {
      if (expiresAtMs > this.options.time.nowMs) {
        break;
      }
      this.stored.delete(id);
    }
    resultIds.forEach((id, index) => {
      const { jobId, piece } = call.pieces[index] as PlannedCall['pieces'][number];
      const { job } = jobs[index] as OpenJob;
      const open = this.jobs.get(jobId);
      if (id === undefined) {
        return;
      }
      const resultBytes = open === undefined && this.options.knowsSizes !== true ? 0 : job.resultBytes;
      const expiresAtMs = this.options.time.nowMs + this.options.spec.keepResultMs;
      this.stored.set(id, { serverId: call.serverId, resultBytes, expiresAtMs, evictable: false });
      if (open === undefined || open.results[piece] !== undefined) {
        unused.push(id);
      } else {
        open.results[piece] = id;
      }
    });
    this.options.time.schedule(0, () => this.release(unused));
  }

  private noteStarted(open: OpenJob): void {
    const updated = open;
    updated.started += 1;
    if (open.started === open.job.pieceCount) {
      this.options.time.schedule(INPUT_FETCH_MS, () =>
        open.inputs.forEach(({ owner, resultIds }) => owner.markEvictable(resultIds)),
      );
    }
  }

  private evict(serverId: string): void {
    const ids = [...this.stored].filter(([, one]) => one.serverId === serverId && one.evictable).map(([id]) => id);
    this.freeRoom(ids.flatMap((id) => this.stored.get(id) ?? []));
    ids.forEach((id) => this.stored.delete(id));
    this.later(() => this.servers.get(serverId)?.release(ids));
  }

  private freeRoom(stored: readonly Stored[]): void {
    stored.forEach(({ serverId, resultBytes, expiresAtMs }) => this.queue.release(serverId, resultBytes, expiresAtMs));
  }

  private endAll(ended: readonly JobResult[]): void {
    ended.forEach(({ jobId, type }) => this.end(jobId, type));
  }

  private end(jobId: string, type: JobResult['type'] | undefined): void {
    const open = this.jobs.get(jobId);
    this.jobs.delete(jobId);
    if (open === undefined) {
      return;
    }
    const resultIds = open.results.filter((id) => id !== undefined);
    if (type !== 'done') {
      this.release(resultIds);
    }
    open.onEnd(type === 'done' ? { owner: this, resultIds } : undefined);
  }
}

/**
 * Creates the model of a batch owner, for simulations without a network. It releases and evicts results as the owner of
 * the gateway does.
 *
 * @param options - pool, servers, delays and faults
 * @returns the owner
 */
export default function createOwnerModel(options: OwnerModelOptions): OwnerModel {
  return new Model(options);
}
