import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { BatchSpec } from '@bergamotcove/config';
import createBatchQueue, { type BatchQueue } from './createBatchQueue.js';
import type { BatchJob, JobResult, PieceOutcome, PlannedCall } from './types.js';

const SPEC: BatchSpec = {
  parallelCalls: 1,
  queuedCalls: 2,
  maxPieces: 4,
  callMs: 200,
  pieceMs: 10,
  roomBytes: 1_000,
  keepResultMs: 10_000,
};

const JOB: BatchJob = {
  jobId: 'a',
  pieceCount: 2,
  kind: 'k',
  resultBytes: 10,
  inputBytes: 0,
  priority: 0,
  value: 1,
  progress: 0,
  dueAtMs: 2_000,
  expiresAtMs: 4_000,
  failureDomain: 'd1',
};

const createQueue = (servers: readonly string[], changes: Partial<BatchSpec> = {}): BatchQueue => {
  const queue = createBatchQueue({ ...SPEC, ...changes });
  queue.setServers(
    servers.map((serverId) => ({ serverId, failureDomain: 'd1' })),
    0,
  );
  return queue;
};

const submit = (queue: BatchQueue, changes: Partial<BatchJob> = {}, nowMs = 0) =>
  queue.submit({ ...JOB, ...changes }, nowMs);

const answer = (queue: BatchQueue, call: PlannedCall, outcome: PieceOutcome, nowMs: number): readonly JobResult[] =>
  queue.finish(
    call.callId,
    { type: 'answered', pieces: call.pieces.map(() => outcome), totalMs: call.expectedMs },
    nowMs,
  );

const takeOnly = (calls: readonly PlannedCall[]): PlannedCall => {
  assert.equal(calls.length, 1);
  return calls[0] as PlannedCall;
};

test('fills a call with pieces of several jobs', () => {
  const queue = createQueue(['s1']);
  submit(queue, { jobId: 'a', pieceCount: 3 });
  submit(queue, { jobId: 'b', pieceCount: 3 });
  const call = takeOnly(queue.advance(0).calls);
  assert.deepEqual(
    call.pieces.map(({ jobId, piece }) => `${jobId}${piece}`),
    ['a0', 'a1', 'a2', 'b0'],
  );
  assert.deepEqual(queue.advance(1).calls, []);
});

test('ends a job when its last piece is done', () => {
  const queue = createQueue(['s1']);
  submit(queue, { pieceCount: 5 });
  assert.deepEqual(answer(queue, takeOnly(queue.advance(0).calls), 'done', 240), []);
  assert.deepEqual(answer(queue, takeOnly(queue.advance(240).calls), 'done', 480), [{ jobId: 'a', type: 'done' }]);
});

test('makes the pieces of an overdue call at another server, and ends the job once', () => {
  const queue = createQueue(['s1', 's2']);
  submit(queue);
  const slow = takeOnly(queue.advance(0).calls);
  const overdueAtMs = queue.nextCheckMs(0) as number;
  assert.ok(overdueAtMs > slow.expectedMs && overdueAtMs < 4 * slow.expectedMs);
  const again = takeOnly(queue.advance(overdueAtMs).calls);
  assert.notEqual(again.serverId, slow.serverId);
  assert.deepEqual(again.pieces, slow.pieces);
  assert.equal(answer(queue, again, 'done', overdueAtMs + 220).length, 1);
  assert.deepEqual(answer(queue, slow, 'done', overdueAtMs + 300), []);
});

test('keeps calls away from a server that broke off, for longer each time', () => {
  const queue = createQueue(['s1']);
  submit(queue);
  const breakCall = (nowMs: number): number => {
    queue.finish(takeOnly(queue.advance(nowMs).calls).callId, { type: 'broken' }, nowMs);
    assert.deepEqual(queue.advance(nowMs).calls, []);
    return queue.nextCheckMs(nowMs) as number;
  };
  const first = breakCall(0);
  const second = breakCall(first);
  assert.ok(second - first > first);
});

test('fails a job whose piece fails again and again', () => {
  const queue = createQueue(['s1'], { callMs: 10 });
  submit(queue, { pieceCount: 1 });
  let ended: readonly JobResult[] = [];
  let sends = 0;
  for (let nowMs = 0; ended.length === 0 && sends < 10; nowMs += 50) {
    ended = answer(queue, takeOnly(queue.advance(nowMs).calls), 'failed', nowMs + 20);
    sends += 1;
  }
  assert.deepEqual(ended, [{ jobId: 'a', type: 'failed', reason: 'failed' }]);
  assert.equal(sends, 4);
});

test('ends a job that lost an input', () => {
  const queue = createQueue(['s1']);
  submit(queue, { pieceCount: 1 });
  assert.deepEqual(answer(queue, takeOnly(queue.advance(0).calls), 'input-gone', 220), [
    { jobId: 'a', type: 'failed', reason: 'input-gone' },
  ]);
});

test('sends no more pieces than there is room for results, and goes on when room is free', () => {
  const queue = createQueue(['s1'], { roomBytes: 1_000 });
  submit(queue, { jobId: 'a', pieceCount: 2, resultBytes: 250 });
  submit(queue, { jobId: 'b', pieceCount: 2, resultBytes: 250 });
  const call = takeOnly(queue.advance(0).calls);
  assert.deepEqual(
    call.pieces.map(({ jobId }) => jobId),
    ['a', 'a'],
  );
  answer(queue, call, 'done', 230);
  assert.deepEqual(queue.advance(230).calls, []);
  queue.release('s1', 250);
  assert.deepEqual(
    takeOnly(queue.advance(240).calls).pieces.map(({ jobId }) => jobId),
    ['b', 'b'],
  );
});

test('begins a job that is too large for the room with a part of its pieces', () => {
  const queue = createQueue(['s1']);
  submit(queue, { pieceCount: 4, resultBytes: 400 });
  assert.equal(takeOnly(queue.advance(0).calls).pieces.length, 2);
});

test('leaves pieces for a free server near their inputs, unless it is slow or full', () => {
  const createPair = (): BatchQueue => {
    const queue = createBatchQueue(SPEC);
    const servers = ['d1', 'd2'].map((failureDomain) => ({ serverId: `s-${failureDomain}`, failureDomain }));
    queue.setServers(servers, 0);
    return queue;
  };
  const queue = createPair();
  submit(queue, { jobId: 'a', pieceCount: 1, failureDomain: 'd2', inputBytes: 3_000_000 });
  submit(queue, { jobId: 'b', pieceCount: 1, failureDomain: 'd1', inputBytes: 3_000_000 });
  const placed = queue.advance(0).calls.map(({ serverId, pieces }) => [serverId, pieces[0]?.jobId]);
  assert.deepEqual(
    new Map(placed as [string, string][]),
    new Map([
      ['s-d1', 'b'],
      ['s-d2', 'a'],
    ]),
  );

  const busy = createPair();
  submit(busy, { jobId: 'first', pieceCount: 1, failureDomain: 'd2' });
  busy.advance(0);
  submit(busy, { jobId: 'second', pieceCount: 1, failureDomain: 'd2', dueAtMs: 400 });
  assert.equal(takeOnly(busy.advance(1).calls).serverId, 's-d1');
});

test('takes the room of spare results, and says so', () => {
  const queue = createQueue(['s1']);
  submit(queue, { jobId: 'a', pieceCount: 2, resultBytes: 400 });
  answer(queue, takeOnly(queue.advance(0).calls), 'done', 220);
  submit(queue, { jobId: 'b', pieceCount: 1, resultBytes: 400 }, 220);
  assert.deepEqual(queue.advance(220).calls, []);
  queue.spare('s1', 400);
  assert.equal(takeOnly(queue.advance(230).calls).usesSpareRoom, true);
});

test('refuses a job that would end too late behind what goes before it, with a time to come back', () => {
  const queue = createQueue(['s1']);
  for (let index = 0; index < 40; index += 1) {
    submit(queue, { jobId: `early-${index}`, pieceCount: 4, value: 5, dueAtMs: 500, expiresAtMs: 60_000 });
  }
  const decision = submit(queue, { jobId: 'last', value: 0.1, dueAtMs: 500, expiresAtMs: 900 });
  assert.equal(decision.type, 'refused');
  assert.ok(decision.type === 'refused' && decision.retryAfterMs >= 100);
});

test('ends waiting jobs at the end of their use', () => {
  const queue = createQueue([]);
  submit(queue, { expiresAtMs: 700 });
  assert.equal(queue.nextCheckMs(0), 700);
  assert.deepEqual(queue.advance(700).ended, [{ jobId: 'a', type: 'failed', reason: 'late' }]);
});

test('hands over only jobs of which nothing was sent', () => {
  const queue = createQueue(['s1']);
  submit(queue, { jobId: 'begun', pieceCount: 4, dueAtMs: 1_000 });
  submit(queue, { jobId: 'waits', pieceCount: 4, dueAtMs: 1_500 });
  queue.advance(0);
  assert.deepEqual(queue.takeUnsent(), ['waits']);
});

test('learns a slow server and prefers the others until the memory of it fades', () => {
  const queue = createQueue(['s1', 's2']);
  submit(queue, { jobId: 'a' });
  const slow = takeOnly(queue.advance(0).calls);
  queue.finish(slow.callId, { type: 'answered', pieces: ['done', 'done'], totalMs: 1_500 }, 1_500);
  submit(queue, { jobId: 'b', dueAtMs: 9_000, expiresAtMs: 9_000 }, 1_500);
  const next = takeOnly(queue.advance(1_500).calls);
  assert.notEqual(next.serverId, slow.serverId);
  assert.ok(queue.readState(1_500).speed < 1.8);
  assert.ok(queue.readState(20_000).speed > 1.9);
});

test('keeps its limits and ends each job at most once whatever the servers do', () => {
  const step = fc.record({
    pieces: fc.integer({ min: 1, max: 6 }),
    waitMs: fc.integer({ min: 1, max: 400 }),
    outcome: fc.constantFrom('done', 'failed', 'no-room', 'input-gone', 'late', 'refused', 'broken', 'silent'),
    cancel: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const queue = createQueue(['s1', 's2'], { parallelCalls: 2 });
      const open = new Map<number, PlannedCall>();
      const ended = new Set<string>();
      const end = (results: readonly JobResult[]): void =>
        results.forEach(({ jobId }) => {
          assert.ok(!ended.has(jobId), `${jobId} ended twice`);
          ended.add(jobId);
        });
      let nowMs = 0;
      steps.forEach(({ pieces, waitMs, outcome, cancel }, index) => {
        nowMs += waitMs;
        const expiresAtMs = nowMs + 2_000;
        submit(queue, { jobId: String(index), pieceCount: pieces, expiresAtMs, dueAtMs: expiresAtMs }, nowMs);
        const { calls, ended: late } = queue.advance(nowMs);
        end(late);
        calls.forEach((call) => open.set(call.callId, call));
        calls.forEach((call) => assert.ok(call.pieces.length <= SPEC.maxPieces));
        ['s1', 's2'].forEach((id) => {
          assert.ok([...open.values()].filter(({ serverId }) => serverId === id).length <= 2);
        });
        const [first] = open.values();
        if (first !== undefined && outcome !== 'silent') {
          open.delete(first.callId);
          end(
            outcome === 'refused' || outcome === 'broken'
              ? queue.finish(first.callId, { type: outcome }, nowMs)
              : answer(queue, first, outcome, nowMs),
          );
        }
        if (cancel) {
          queue.cancel(String(index));
          ended.add(String(index));
        }
      });
    }),
    { seed: 1, numRuns: 300 },
  );
});

/** Keeps the only server busy and a job of the first rank waiting that can be on time. */
const createBusyQueue = (): BatchQueue => {
  const queue = createQueue(['s1']);
  submit(queue, { jobId: 'running', pieceCount: 4 });
  takeOnly(queue.advance(0).calls);
  submit(queue, { jobId: 'first', pieceCount: 4, dueAtMs: 3_000 });
  return queue;
};

const listEnded = (queue: BatchQueue, nowMs: number): readonly string[] =>
  queue.advance(nowMs).ended.map((result) => `${result.jobId} ${result.type === 'failed' ? result.reason : 'done'}`);

test('a late job of a later rank does not wait behind others until it expires', () => {
  const queue = createBusyQueue();
  submit(queue, { jobId: 'late', priority: 1, dueAtMs: 100 });
  assert.deepEqual(listEnded(queue, 300), []);
  assert.deepEqual(listEnded(queue, 550), ['late overtaken']);
});

test('a late job of the first rank, and one behind nothing that can be on time, wait', () => {
  const queue = createBusyQueue();
  submit(queue, { jobId: 'late', priority: 0, dueAtMs: 100 });
  assert.deepEqual(listEnded(queue, 550), []);
  const other = createQueue(['s1']);
  submit(other, { jobId: 'running', pieceCount: 4 });
  takeOnly(other.advance(0).calls);
  submit(other, { jobId: 'late', priority: 1, dueAtMs: 100 });
  assert.deepEqual(listEnded(other, 550), []);
});

/** Jobs of two ranks at 1.5 times the capacity of two servers for 6 s. */
const createCrest = (seed: number): readonly { readonly atMs: number; readonly job: BatchJob }[] => {
  const generator = xoroshiro128plus(seed);
  const random = (): number => uniformFloat64(generator);
  const arrivals: { atMs: number; job: BatchJob }[] = [];
  for (let atMs = 0; atMs < 6_000; atMs += random() * 2 * (240 / 8 / 1.5) * 2) {
    const isFirst = random() < 0.4;
    const job = {
      ...JOB,
      jobId: String(arrivals.length),
      resultBytes: 0,
      priority: isFirst ? 0 : 1,
      value: isFirst ? 5 : 1,
      dueAtMs: atMs + 800,
      expiresAtMs: atMs + 4_500,
    };
    arrivals.push({ atMs, job });
  }
  return arrivals;
};

/** Plays a crest; tells when each job ended, and whether it was done. */
const playCrest = (arrivals: ReturnType<typeof createCrest>) => {
  const queue = createQueue(['s1', 's2']);
  const ends = new Map<string, { readonly atMs: number; readonly done: boolean }>();
  const running: { readonly call: PlannedCall; readonly endAtMs: number }[] = [];
  let next = 0;
  for (let nowMs = 0; nowMs < 12_000; nowMs += 10) {
    const note = (results: readonly JobResult[]): void =>
      results.forEach(({ jobId, type }) => ends.set(jobId, { atMs: nowMs, done: type === 'done' }));
    for (let arrival = arrivals[next]; arrival !== undefined && arrival.atMs <= nowMs; arrival = arrivals[next]) {
      if (queue.submit(arrival.job, nowMs).type === 'refused') {
        ends.set(arrival.job.jobId, { atMs: nowMs, done: false });
      }
      next += 1;
    }
    running
      .splice(0)
      .forEach((one) => (one.endAtMs <= nowMs ? note(answer(queue, one.call, 'done', nowMs)) : running.push(one)));
    const { ended, calls } = queue.advance(nowMs);
    note(ended);
    calls.forEach((call) => running.push({ call, endAtMs: nowMs + call.expectedMs }));
  }
  return ends;
};

[1, 2, 3, 5, 8].forEach((seed) => {
  test(`at a crest the first rank is on time, and callers that are not served know it soon (seed ${seed})`, () => {
    const arrivals = createCrest(seed);
    const ends = playCrest(arrivals);
    const first = arrivals.filter(({ job }) => job.priority === 0);
    const onTime = first.filter(({ job }) => {
      const end = ends.get(job.jobId);
      return end?.done === true && end.atMs <= job.dueAtMs;
    });
    assert.ok(onTime.length >= first.length * 0.95, `${onTime.length} of ${first.length} of the first rank`);
    const refusedAfterMs = arrivals
      .flatMap(({ atMs, job }) => {
        const end = ends.get(job.jobId);
        return end === undefined || end.done ? [] : [end.atMs - atMs];
      })
      .sort((a, b) => a - b);
    const late95Ms = refusedAfterMs[Math.floor(refusedAfterMs.length * 0.95)] ?? 0;
    assert.ok(refusedAfterMs.length > 10, `${refusedAfterMs.length} refused`);
    // A quarter of the 4.5 s in which the result is of use.
    assert.ok(late95Ms <= 1_125, `95 of 100 know after ${late95Ms} ms`);
  });
});

test('decides fast with as many jobs in line as a pool of the target size has at a crest', () => {
  const queue = createQueue(['s1', 's2', 's3', 's4', 's5', 's6', 's7'], { maxPieces: 17, roomBytes: 1e9 });
  const createJob = (index: number, nowMs: number): Partial<BatchJob> => ({
    jobId: String(index),
    pieceCount: 1 + (index % 4),
    priority: index % 3,
    value: 1 + (index % 5),
    dueAtMs: nowMs + 1_000 + (index % 700),
    expiresAtMs: nowMs + 60_000,
  });
  for (let index = 0; index < 600; index += 1) {
    submit(queue, createJob(index, 0), 0);
  }
  queue.advance(0);
  const before = process.cpuUsage();
  for (let index = 600; index < 700; index += 1) {
    submit(queue, createJob(index, 1), 1);
    queue.advance(1);
    queue.cancel(String(index));
  }
  const { user, system } = process.cpuUsage(before);
  const msEach = (user + system) / 1_000 / 100;
  assert.ok(msEach < 5, `${msEach} ms each`);
});
