import assert from 'node:assert/strict';
import { test } from 'node:test';
import simulateStages from '../testing/simulateStages.js';
import createBatchQueue, { type BatchQueue } from './createBatchQueue.js';
import type { BatchJob, BatchServer, PlannedCall } from './types.js';

const SPEC = {
  parallelCalls: 1,
  queuedCalls: 2,
  maxPieces: 4,
  callMs: 200,
  pieceMs: 10,
  resultMemoryBytes: 1_000,
  keepResultMs: 4_000,
};
const SERVER: BatchServer = { serverId: 's1', failureDomain: 'd1', startedAtMs: 1 };

const createQueue = (parallelCalls = 1): BatchQueue => {
  const queue = createBatchQueue({ ...SPEC, parallelCalls });
  queue.setServers([SERVER], 0);
  return queue;
};

/** Submits a job whose results need four tenths of the room, and returns the calls that start. */
const submit = (queue: BatchQueue, jobId: string, nowMs: number): readonly PlannedCall[] => {
  const job: BatchJob = {
    jobId,
    pieceCount: 2,
    kind: 'k',
    resultBytes: 200,
    inputBytes: 0,
    priority: 0,
    value: 1,
    progress: 0,
    dueAtMs: 20_000,
    expiresAtMs: 20_000,
    failureDomain: 'd1',
  };
  queue.submit(job, nowMs);
  return queue.advance(nowMs).calls;
};

const finish = (queue: BatchQueue, [call]: readonly PlannedCall[], nowMs: number): void => {
  const { callId, pieces } = call as PlannedCall;
  queue.finish(callId, { type: 'answered', pieces: pieces.map(() => 'done'), totalMs: 220 }, nowMs);
};

test('reserves the room of running calls, so that a second one is not refused by the server', () => {
  const queue = createQueue(3);
  assert.equal(submit(queue, 'a', 0).length, 1);
  assert.equal(submit(queue, 'b', 1).length, 1);
  assert.equal(submit(queue, 'c', 2).length, 0);
});

test('counts results of a broken call, which the server keeps, until it starts again', () => {
  const queue = createQueue();
  finish(queue, submit(queue, 'a', 0), 220);
  const [call] = submit(queue, 'b', 220);
  queue.finish((call as PlannedCall).callId, { type: 'broken' }, 300);
  queue.cancel('b');
  assert.equal(submit(queue, 'c', 1_000).length, 0);
  queue.setServers([{ ...SERVER, startedAtMs: 2 }], 1_100);
  assert.equal(queue.advance(1_100).calls.length, 1);
});

test('still counts the results of a server that was not listed for a moment', () => {
  const queue = createQueue();
  finish(queue, submit(queue, 'a', 0), 220);
  finish(queue, submit(queue, 'b', 220), 440);
  queue.setServers([], 500);
  queue.setServers([SERVER], 600);
  assert.equal(submit(queue, 'c', 700).length, 0);
  queue.setServers([], 700);
  queue.release('s1', 200);
  queue.release('s1', 200);
  queue.setServers([SERVER], 800);
  assert.equal(queue.advance(800).calls.length, 1);
});

test('neither frees nor marks another result of the same size in place of an expired one', () => {
  const queue = createQueue();
  finish(queue, submit(queue, 'a', 0), 220);
  finish(queue, submit(queue, 'b', 3_000), 3_220);
  const expiresAtMs = 220 + SPEC.keepResultMs;
  assert.equal(queue.view(4_300).takenShare.toFixed(2), '0.44');
  [1, 2].forEach(() => queue.markEvictable('s1', 200, expiresAtMs));
  [1, 2].forEach(() => queue.release('s1', 200, expiresAtMs));
  const { takenShare, spareShare } = queue.view(4_300);
  assert.deepEqual([takenShare.toFixed(2), spareShare.toFixed(2)], ['0.44', '0.00']);
  queue.release('s1', 200, 3_000 + expiresAtMs);
  assert.equal(queue.view(4_300).takenShare.toFixed(2), '0.22');
});

test('servers refuse less than one piece of 1,000 although 2% of the calls break while the server goes on', () => {
  const spec = { ...SPEC, maxPieces: 40, pieceMs: 5, resultMemoryBytes: 900_000 };
  const { pieces, noRoom } = simulateStages({
    seed: 1,
    durationMs: 20_000,
    latencyMs: 2,
    sizeError: 0.1,
    brokenShare: 0.02,
    knowsSizes: true,
    freesOnAnswer: true,
    countsRoom: true,
    pools: { a: { spec, servers: 5 }, b: { spec, servers: 5 }, c: { spec, servers: 5 } },
    kinds: ['x', 'y', 'z'].map((kind, index) => ({
      kind,
      ratePerS: (atMs: number) => (atMs > 10_000 && atMs < 15_000 ? 40 : 13),
      value: 1,
      minPieces: 1,
      maxPieces: 8 * (index + 1),
      resultBytes: [8_000, 8_000, 8_000],
      pools: ['a', 'b', 'c'],
    })),
  });
  assert.ok(pieces > 10_000 && noRoom < pieces / 1_000, `${noRoom} of ${pieces} refused`);
});
