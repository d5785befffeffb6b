import assert from 'node:assert/strict';
import { test } from 'node:test';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { BatchJob } from '../types.js';
import { createQueuedJob, type QueuedJob } from './queuedJob.js';
import rankJobs, { type PoolCapacity } from './rankJobs.js';

const JOB: BatchJob = {
  jobId: 'a',
  pieceCount: 1,
  kind: 'k',
  resultBytes: 0,
  inputBytes: 0,
  priority: 0,
  value: 1,
  progress: 0,
  dueAtMs: 1_000,
  expiresAtMs: 3_000,
  failureDomain: 'd',
};

const CAPACITY: PoolCapacity = { startMs: 0, callMs: 200, costMs: ({ job }) => job.pieceCount * 100 };

const createJob = (changes: Partial<BatchJob>): QueuedJob => createQueuedJob({ ...JOB, ...changes }, 0);
const listIds = (entries: readonly QueuedJob[]): readonly string[] => entries.map(({ job }) => job.jobId);

test('orders jobs by due time when all can be on time', () => {
  const ranked = rankJobs([createJob({ jobId: 'b', dueAtMs: 900 }), createJob({ jobId: 'a', dueAtMs: 500 })], CAPACITY);
  assert.deepEqual(listIds(ranked.onTime), ['a', 'b']);
  assert.deepEqual(ranked.late, []);
});

test('moves the job with the lowest value per cost behind when not all can be on time', () => {
  const jobs = [
    createJob({ jobId: 'dear', pieceCount: 6, value: 1, dueAtMs: 600 }),
    createJob({ jobId: 'cheap', pieceCount: 1, value: 1, dueAtMs: 650 }),
    createJob({ jobId: 'rich', pieceCount: 2, value: 10, dueAtMs: 650 }),
  ];
  const ranked = rankJobs(jobs, CAPACITY);
  assert.deepEqual(listIds(ranked.onTime), ['cheap', 'rich']);
  assert.deepEqual(listIds(ranked.late), ['dear']);
});

test('prefers the request with more stages done', () => {
  const jobs = [
    createJob({ jobId: 'new', pieceCount: 4, dueAtMs: 400 }),
    createJob({ jobId: 'nearly-done', pieceCount: 4, dueAtMs: 400, progress: 0.9 }),
  ];
  assert.deepEqual(listIds(rankJobs(jobs, CAPACITY).late), ['new']);
});

test('counts a job as late when no call can meet its due time', () => {
  const ranked = rankJobs([createJob({ dueAtMs: 150 })], CAPACITY);
  assert.deepEqual(listIds(ranked.late), ['a']);
});

interface Arrival {
  readonly atMs: number;
  readonly job: BatchJob;
}

const CALL_MS = 300;
const PIECES = 7;

/** Creates jobs for 20 s at 1.6 times the capacity of one server. */
const createArrivals = (seed: number): readonly Arrival[] => {
  const generator = xoroshiro128plus(seed);
  const random = (): number => uniformFloat64(generator);
  const arrivals: Arrival[] = [];
  for (let atMs = 0; atMs < 20_000; atMs += random() * 2 * (CALL_MS / PIECES) * (2.5 / 1.6)) {
    const job = {
      ...JOB,
      jobId: String(arrivals.length),
      pieceCount: 1 + Math.floor(random() * 4),
      value: random() < 0.4 ? 4 : 1,
      dueAtMs: atMs + 1_100,
      expiresAtMs: atMs + 6_000,
    };
    arrivals.push({ atMs, job });
  }
  return arrivals;
};

type Order = (entries: readonly QueuedJob[], nowMs: number) => readonly QueuedJob[];

interface WaitingJob {
  readonly entry: QueuedJob;
  left: number;
}

/** Lists the jobs that have arrived by now, without the first `taken` ones. */
const listArrived = (arrivals: readonly Arrival[], taken: number, nowMs: number): readonly WaitingJob[] =>
  arrivals
    .slice(taken)
    .filter(({ atMs }) => atMs <= nowMs)
    .map(({ job, atMs }) => ({ entry: createQueuedJob(job, atMs), left: job.pieceCount }));

/** Removes the pieces of one call from the waiting jobs; returns the jobs that end with it. */
const takeCall = (waiting: readonly WaitingJob[], order: Order, nowMs: number): readonly QueuedJob[] => {
  const byEntry = new Map(waiting.map((one) => [one.entry, one] as const));
  const done: QueuedJob[] = [];
  let room = PIECES;
  order([...byEntry.keys()], nowMs).forEach((entry) => {
    const one = byEntry.get(entry) as WaitingJob;
    const taken = Math.min(room, one.left);
    room -= taken;
    one.left -= taken;
    if (taken > 0 && one.left === 0) {
      done.push(entry);
    }
  });
  return done;
};

/** Returns the value of the jobs that one server ends by their due time with one call after another. */
const simulate = (arrivals: readonly Arrival[], order: Order): number => {
  let waiting: WaitingJob[] = [];
  let next = 0;
  let value = 0;
  for (let nowMs = 0; nowMs < 30_000; nowMs += CALL_MS) {
    const endMs = nowMs + CALL_MS;
    const arrived = listArrived(arrivals, next, nowMs);
    next += arrived.length;
    waiting.push(...arrived);
    waiting = waiting.filter(({ entry }) => entry.job.expiresAtMs > nowMs);
    const onTime = takeCall(waiting, order, nowMs).filter(({ job }) => endMs <= job.dueAtMs);
    value += onTime.reduce((sum, { job }) => sum + job.value, 0);
    waiting = waiting.filter(({ left }) => left > 0);
  }
  return value;
};

const byDueTime: Order = (entries) => [...entries].sort((a, b) => a.job.dueAtMs - b.job.dueAtMs);
const byRank: Order = (entries, nowMs) => {
  const costMs = ({ job }: QueuedJob): number => (job.pieceCount * CALL_MS) / PIECES;
  const { onTime, late } = rankJobs(entries, { startMs: nowMs, callMs: CALL_MS, costMs });
  return [...onTime, ...late];
};

[1, 2, 3, 5, 8, 13, 21].forEach((seed) => {
  test(`achieves more than 1.5 times the on-time value of an order by due time under overload, seed ${seed}`, () => {
    const arrivals = createArrivals(seed);
    const offered = arrivals.reduce((sum, { job }) => sum + job.value, 0);
    const [ranked, due] = [simulate(arrivals, byRank) / offered, simulate(arrivals, byDueTime) / offered];
    assert.ok(ranked >= 0.5, `ranked ${ranked}`);
    assert.ok(ranked > due * 1.5, `ranked ${ranked}, by due time ${due}`);
  });
});

/** Creates jobs of two ranks with one more stage after this one, at 1.2 times the capacity of the server. */
const createRankedArrivals = (seed: number): readonly Arrival[] => {
  const generator = xoroshiro128plus(seed);
  const random = (): number => uniformFloat64(generator);
  const arrivals: Arrival[] = [];
  for (let atMs = 0; atMs < 20_000; atMs += random() * 2 * (CALL_MS / PIECES) * (2.5 / 1.2)) {
    const isFirst = random() < 0.4;
    const job = {
      ...JOB,
      jobId: String(arrivals.length),
      pieceCount: 1 + Math.floor(random() * 4),
      priority: isFirst ? 0 : 1,
      value: isFirst ? 5 : 1,
      dueAtMs: atMs + (isFirst ? 1_300 : 1_600),
      expiresAtMs: atMs + 6_000,
    };
    arrivals.push({ atMs, job });
  }
  return arrivals;
};

/** Usual duration of the next stage; at a load peak it takes up to twice as long. */
const NEXT_STAGE_MS = 400;

/** Returns the shares of the value that is on time after both stages, for the first rank and for all jobs. */
const runTwoStages = (arrivals: readonly Arrival[], order: Order, seed: number) => {
  const generator = xoroshiro128plus(seed + 1_000);
  const done = new Map<string, number>();
  let waiting: WaitingJob[] = [];
  let next = 0;
  for (let nowMs = 0; nowMs < 30_000;) {
    const arrived = listArrived(arrivals, next, nowMs);
    next += arrived.length;
    waiting.push(...arrived);
    const endMs = nowMs + CALL_MS * (0.8 + 0.5 * uniformFloat64(generator));
    takeCall(waiting, order, nowMs).forEach(({ job }) => {
      done.set(job.jobId, endMs + NEXT_STAGE_MS * (1 + uniformFloat64(generator)));
    });
    waiting = waiting.filter(({ left }) => left > 0);
    nowMs = endMs;
  }
  const share = (jobs: readonly BatchJob[]): number => {
    const onTime = jobs.filter(({ jobId, dueAtMs }) => (done.get(jobId) ?? Infinity) <= dueAtMs + NEXT_STAGE_MS);
    return onTime.reduce((sum, { value }) => sum + value, 0) / jobs.reduce((sum, { value }) => sum + value, 0);
  };
  const jobs = arrivals.map(({ job }) => job);
  return { first: share(jobs.filter(({ priority }) => priority === 0)), all: share(jobs) };
};

/** The order without ranks, for comparison. */
const byDueAndValue: Order = (entries, nowMs) => {
  const byId = new Map(entries.map((entry) => [entry.job.jobId, entry]));
  const equal = entries.map((entry) => ({ ...entry, job: { ...entry.job, priority: 0 } }));
  return byRank(equal, nowMs).map(({ job }) => byId.get(job.jobId) as QueuedJob);
};

[1, 2, 3, 5, 8, 13, 21].forEach((seed) => {
  test(`with slow next stages ranks raise the on-time value of the first rank at no total cost, seed ${seed}`, () => {
    const arrivals = createRankedArrivals(seed);
    const [ranked, before] = [runTwoStages(arrivals, byRank, seed), runTwoStages(arrivals, byDueAndValue, seed)];
    assert.ok(ranked.first >= before.first + 0.05, `first rank: ${ranked.first}, before ${before.first}`);
    assert.ok(ranked.all >= before.all, `all: ${ranked.all}, before ${before.all}`);
  });
});
