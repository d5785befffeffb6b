import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { BatchSpec } from '@bergamotcove/config';
import createBatchQueue, { type BatchQueue } from './createBatchQueue.js';
import type { BatchJob, BatchServer } from './types.js';

const SPEC: BatchSpec = {
  parallelCalls: 1,
  queuedCalls: 2,
  maxPieces: 4,
  callMs: 200,
  pieceMs: 10,
  resultMemoryBytes: 1_000,
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

const R1: BatchServer = { serverId: 's1', failureDomain: 'd1', region: 'r1' };
const R2: BatchServer = { serverId: 's2', failureDomain: 'd2', region: 'r2' };
const REFUSED = [{ jobId: 'a', type: 'failed', reason: 'failed' }];

const createQueue = (servers: readonly BatchServer[]): BatchQueue => {
  const queue = createBatchQueue(SPEC);
  queue.setServers(servers, 0);
  return queue;
};

// The forbidden server is the one nearest to the inputs, for which an unrestricted job would wait.
test('the pieces of a restricted job go to servers of its regions only, past free ones that are nearer', () => {
  const queue = createQueue([R1, R2]);
  queue.submit({ ...JOB, homeRegions: ['r2'] }, 0);
  queue.submit({ ...JOB, jobId: 'b' }, 0);
  const { calls, ended } = queue.advance(0);
  const sent = calls.map(({ serverId, pieces }) => [serverId, ...new Set(pieces.map(({ jobId }) => jobId))]);
  assert.deepEqual(Object.fromEntries(sent), { s1: 'b', s2: 'a' });
  assert.deepEqual(ended, []);
});

test('a restricted job that no listed server may run ends at once, before and after it was queued', () => {
  const queue = createQueue([R1]);
  queue.submit({ ...JOB, homeRegions: ['r2'] }, 0);
  assert.deepEqual(queue.advance(0), { ended: REFUSED, calls: [] });
  queue.setServers([{ ...R2, restsUntilMs: 1_000 }], 0);
  queue.submit({ ...JOB, homeRegions: ['r2'] }, 0);
  assert.deepEqual(queue.advance(0), { ended: [], calls: [] });
  queue.setServers([R1], 10);
  assert.deepEqual(queue.advance(10), { ended: REFUSED, calls: [] });
});

test('pieces that run when the last permitted server leaves the list still count', () => {
  const queue = createQueue([R2]);
  queue.submit({ ...JOB, homeRegions: ['r2'] }, 0);
  const [call] = queue.advance(0).calls;
  queue.setServers([R1], 10);
  assert.deepEqual(queue.advance(10).ended, []);
  const outcome = { type: 'answered', pieces: ['done', 'done'], totalMs: 220 } as const;
  assert.deepEqual(queue.finish(call?.callId ?? 0, outcome, 220), [{ jobId: 'a', type: 'done' }]);
});
