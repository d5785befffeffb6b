import { LRUCache } from 'lru-cache';
import type { LoadReport, ServerDescription } from '@bergamotcove/decide';
import type { EventQueue } from '../_lib/createEventQueue.js';
import { REPORT_LAG_MS } from '../constants.js';
import type { PoolModel } from '../types.js';

/** One attempt on a server. */
export interface ServerJob {
  /** Work before the first output token. */
  readonly prefillTokens: number;
  /** Part of the prefill that a cached prefix saves. */
  readonly prefixTokens: number;
  readonly prefixKey?: string;
  readonly outputTokens: number;
  /** Lower runs first in the server's queue. */
  readonly priority: number;
  /** The first output token was produced. */
  readonly onFirstToken?: () => void;
  readonly onDone: () => void;
  readonly onLost: () => void;
}

/** A stand-in server in virtual time. */
export interface ServerModel {
  readonly description: ServerDescription;
  readonly pool: PoolModel;
  readonly crashed: boolean;
  submit(job: ServerJob): void;
  cancel(job: ServerJob): void;
  /** Output tokens of the job so far. */
  progress(job: ServerJob): number;
  /** Work done for the job so far, in tokens. */
  workDone(job: ServerJob): number;
  setSlow(factor: number): void;
  crash(): void;
  restore(): void;
  /** Jobs that run or wait now; only a probe sees it. */
  load(): number;
  /** The load report that a poll gets now; it shows the state of a moment ago. */
  report(): LoadReport;
  /** Server time used so far in milliseconds: work in tokens times the time per token in a full batch. */
  usedTokens(): number;
}

interface Running {
  readonly job: ServerJob;
  readonly startWork: number;
  readonly prefillTokens: number;
  readonly finishWork: number;
  readonly streaming: boolean;
}

interface Waiting {
  readonly job: ServerJob;
  readonly order: number;
}

const MS_PER_SECOND = 1_000;
const SNAPSHOT_MS = 100;
const EPSILON = 1e-6;

const firstTokenWork = (entry: Running): number =>
  Math.min(entry.finishWork, entry.startWork + entry.prefillTokens + 1);

/** A server whose running jobs share its speed; the rest waits in order of priority and arrival. */
class SharedServer implements ServerModel {
  crashed = false;

  private running: Running[] = [];

  private waiting: Waiting[] = [];

  /** Work that each job that ran all the time would have got; jobs note it at their start. */
  private work = 0;

  private workAtMs = 0;

  private slow = 1;

  private generation = 0;

  private order = 0;

  private used = 0;

  private snapshots: LoadReport[] = [];

  private readonly prefixes: LRUCache<string, true>;

  constructor(
    readonly description: ServerDescription,
    readonly pool: PoolModel,
    private readonly events: EventQueue,
    cachedPrefixes: number,
  ) {
    this.prefixes = new LRUCache({ max: Math.max(1, cachedPrefixes) });
    this.takeSnapshot();
  }

  submit(job: ServerJob): void {
    this.advance();
    this.order += 1;
    const entry = { job, order: this.order };
    const index = this.waiting.findIndex((other) => other.job.priority > job.priority);
    this.waiting.splice(index === -1 ? this.waiting.length : index, 0, entry);
    this.fill();
  }

  cancel(job: ServerJob): void {
    this.advance();
    this.waiting = this.waiting.filter((entry) => entry.job !== job);
    this.running = this.running.filter((entry) => entry.job !== job);
    this.fill();
  }

  progress(job: ServerJob): number {
    this.advance();
    const entry = this.running.find((other) => other.job === job);
    return entry === undefined
      ? 0
      : Math.max(0, Math.floor(this.work - entry.startWork - entry.prefillTokens + EPSILON));
  }

  workDone(job: ServerJob): number {
    this.advance();
    const entry = this.running.find((other) => other.job === job);
    return entry === undefined ? 0 : this.work - entry.startWork;
  }

  setSlow(factor: number): void {
    this.advance();
    this.slow = factor;
    this.schedule();
  }

  crash(): void {
    this.advance();
    this.crashed = true;
    this.generation += 1;
    const lost = [...this.running.map((entry) => entry.job), ...this.waiting.map((entry) => entry.job)];
    this.running = [];
    this.waiting = [];
    this.prefixes.clear();
    lost.forEach((job) => job.onLost());
  }

  restore(): void {
    this.crashed = false;
  }

  report(): LoadReport {
    const dueMs = this.events.nowMs() - REPORT_LAG_MS;
    return this.snapshots.findLast((one) => one.reportedAtMs <= dueMs) ?? (this.snapshots[0] as LoadReport);
  }

  load(): number {
    return this.running.length + this.waiting.length;
  }

  usedTokens(): number {
    this.advance();
    return this.used;
  }

  private tokensPerMs(): number {
    const { slots, msPerToken, batchSlope } = this.pool;
    const batch = slots > 1 ? (this.running.length - 1) / (slots - 1) : 0;
    return 1 / (msPerToken * (1 + batchSlope * batch) * this.slow);
  }

  private advance(): void {
    const nowMs = this.events.nowMs();
    if (this.running.length > 0) {
      const done = (nowMs - this.workAtMs) * this.tokensPerMs();
      this.work += done;
      this.used += done * this.running.length;
    }
    this.workAtMs = nowMs;
  }

  private fill(): void {
    while (this.running.length < this.pool.slots && this.waiting.length > 0) {
      const { job } = this.waiting.shift() as Waiting;
      const prefillTokens = job.prefillTokens - this.usePrefix(job);
      const finishWork = this.work + prefillTokens + job.outputTokens;
      this.running.push({ job, startWork: this.work, prefillTokens, finishWork, streaming: false });
    }
    this.schedule();
  }

  private usePrefix(job: ServerJob): number {
    if (job.prefixKey === undefined || job.prefixTokens === 0) {
      return 0;
    }
    const hit = this.prefixes.get(job.prefixKey) === true;
    this.prefixes.set(job.prefixKey, true);
    return hit ? job.prefixTokens : 0;
  }

  private schedule(): void {
    this.generation += 1;
    if (this.running.length === 0) {
      return;
    }
    const { generation } = this;
    const next = Math.min(...this.running.map((entry) => (entry.streaming ? entry.finishWork : firstTokenWork(entry))));
    const delayMs = Math.max(0, next - this.work) / this.tokensPerMs();
    this.events.at(this.events.nowMs() + delayMs, () => {
      if (generation === this.generation) {
        this.finishDue();
      }
    });
  }

  private finishDue(): void {
    this.advance();
    const due = this.running.filter((entry) => entry.finishWork <= this.work + EPSILON);
    const begun = this.running.filter((entry) => !entry.streaming && firstTokenWork(entry) <= this.work + EPSILON);
    this.running = this.running
      .filter((entry) => !due.includes(entry))
      .map((entry) => (begun.includes(entry) ? { ...entry, streaming: true } : entry));
    this.fill();
    begun.forEach((entry) => entry.job.onFirstToken?.());
    due.forEach((entry) => entry.job.onDone());
  }

  private takeSnapshot(): void {
    const tokensPerSecond = this.running.length * this.tokensPerMs() * MS_PER_SECOND;
    const reportedAtMs = this.events.nowMs();
    this.snapshots.push({ running: this.running.length, queued: this.waiting.length, tokensPerSecond, reportedAtMs });
    if (this.snapshots.length > 2 + REPORT_LAG_MS / SNAPSHOT_MS) {
      this.snapshots.shift();
    }
    this.events.at(reportedAtMs + SNAPSHOT_MS, () => this.takeSnapshot());
  }
}

/** Creates a stand-in server. */
export default function createServerModel(
  description: ServerDescription,
  options: { readonly pool: PoolModel; readonly events: EventQueue; readonly cachedPrefixes: number },
): ServerModel {
  return new SharedServer(description, options.pool, options.events, options.cachedPrefixes);
}
