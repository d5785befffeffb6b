import assert from 'node:assert/strict';
import { test } from 'node:test';
import createBatchQueue from './createBatchQueue.js';
import type { BatchJob, PlannedCall } from './types.js';

const SPEC = {
  parallelCalls: 1,
  queuedCalls: 2,
  maxPieces: 4,
  callMs: 200,
  pieceMs: 10,
  resultMemoryBytes: 1_000,
  keepResultMs: 10_000,
};

const createJob = (jobId: string, pieceCount: number): BatchJob => ({
  jobId,
  pieceCount,
  kind: 'k',
  resultBytes: 10,
  inputBytes: 0,
  priority: 0,
  value: 1,
  progress: 0,
  dueAtMs: 10_000,
  expiresAtMs: 20_000,
  failureDomain: 'd1',
});

const SERVERS = ['s1', 's2', 's3'].map((serverId) => ({ serverId, failureDomain: 'd1' }));

const listJobs = ({ pieces }: PlannedCall): string => pieces.map(({ jobId }) => jobId).join('');

test('an isolated job shares no call and has one call at a time, so that a crash identifies the faulty job', () => {
  const queue = createBatchQueue(SPEC);
  queue.setServers(SERVERS, 0);
  ['a', 'b'].forEach((jobId) => queue.submit(createJob(jobId, 6), 0));
  queue.isolate('a');
  const { calls } = queue.advance(0);
  assert.deepEqual(calls.map(listJobs).sort(), ['aaaa', 'bb', 'bbbb']);
  const first = calls.find((call) => listJobs(call) === 'aaaa') as PlannedCall;
  queue.finish(first.callId, { type: 'broken' }, 300);
  assert.deepEqual(queue.advance(20_000 - 1).calls.map(listJobs), ['aaaa']);
});

test('jobs that are not isolated share calls', () => {
  const queue = createBatchQueue(SPEC);
  queue.setServers(SERVERS.slice(0, 1), 0);
  ['a', 'b'].forEach((jobId) => queue.submit(createJob(jobId, 2), 0));
  assert.deepEqual(queue.advance(0).calls.map(listJobs), ['aabb']);
});
