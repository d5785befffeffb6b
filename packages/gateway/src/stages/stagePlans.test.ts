import assert from 'node:assert/strict';
import { test } from 'node:test';
import { indexRoutes } from '@bergamotcove/decide';
import type { ForwardRequest } from '../requests/types.js';
import measureCriticalPaths from './measureCriticalPaths.js';
import planStageTimes from './planStageTimes.js';

const BATCH = {
  parallelCalls: 1,
  queuedCalls: 2,
  maxPieces: 10,
  callMs: 200,
  pieceMs: 10,
  resultMemoryBytes: 1e6,
  keepResultMs: 4_000,
};
/** Fixed time of a call with its typical wait, and the work of a half-full call. */
const STAGE_MS = 200 * 1.6 + 50;

const STAGES = [
  { pool: 'p', after: [], resultBytes: 1 },
  { pool: 'p', after: [], resultBytes: 1 },
  { pool: 'p', after: [1], resultBytes: 1 },
];

const INDEX = indexRoutes({
  version: 1,
  routes: [],
  pools: [{ name: 'p', healthPath: '/', maxConnections: 1, engine: undefined, batch: BATCH }],
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  organisations: undefined,
});

const createRequest = (pieceCounts: readonly number[]): ForwardRequest =>
  ({
    arrivedAtMs: 1_000,
    deadlineAtMs: 7_000,
    route: { name: 'r', objectiveMs: 1_500, stages: STAGES },
    facts: { pieceCounts },
  }) as unknown as ForwardRequest;

test('plans due times backwards from the objective and expiries from the deadline', () => {
  const [alone, first, last] = planStageTimes(createRequest([1, 1, 1]), INDEX, { expectedLate: false, answerMs: 150 });
  assert.equal(last?.dueAtMs, 2_500 - 150);
  assert.equal(alone?.dueAtMs, 2_500 - 150);
  assert.equal(first?.dueAtMs, 2_500 - 150 - STAGE_MS);
  assert.equal(last?.expiresAtMs, 7_000 - 150);
  assert.equal(first?.expiresAtMs, 7_000 - 150 - 200);
});

test('stages without pieces take no time', () => {
  const [, first] = planStageTimes(createRequest([1, 1, 0]), INDEX, { expectedLate: false, answerMs: 150 });
  assert.equal(first?.dueAtMs, 2_350);
  assert.deepEqual(measureCriticalPaths(createRequest([1, 1, 0]), INDEX), [STAGE_MS, STAGE_MS, 0]);
});

test('plans a request that is expected to be late for its deadline', () => {
  const [alone] = planStageTimes(createRequest([1, 1, 1]), INDEX, { expectedLate: true, answerMs: 150 });
  assert.equal(alone?.dueAtMs, 6_850);
});

test('measures the longest chain from each stage', () => {
  assert.deepEqual(measureCriticalPaths(createRequest([1, 1, 1]), INDEX), [STAGE_MS, 2 * STAGE_MS, STAGE_MS]);
});
