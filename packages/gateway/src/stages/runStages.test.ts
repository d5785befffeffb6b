import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createManualClock } from '@bergamotcove/clock';
import { indexRoutes } from '@bergamotcove/decide';
import type { ForwardRequest } from '../requests/types.js';
import type { StageClient } from './createStageClient.js';
import type { StageJob, StageJobResult } from './messages.js';
import runStages from './runStages.js';

const STAGES = [
  { pool: 'p', after: [], resultBytes: 1 },
  { pool: 'q', after: [0], resultBytes: 1 },
];

const INDEX = indexRoutes({
  version: 1,
  routes: [],
  pools: [],
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  organisations: undefined,
});

const REQUEST = {
  requestId: 'r',
  arrivedAtMs: 0,
  deadlineAtMs: 8_000,
  route: { name: 'route', objectiveMs: 2_000, stages: STAGES },
  facts: { pieceCounts: [2, 1], pieceKey: 'key' },
  priority: 0,
  value: 1,
} as unknown as ForwardRequest;

/** Runs a request whose second stage is in another region. */
const run = async (answer: (job: StageJob) => StageJobResult, released: string[] = []) => {
  const jobs: { readonly region: string; readonly job: StageJob }[] = [];
  const client: StageClient = {
    run: (region, job) => {
      jobs.push({ region, job });
      return Promise.resolve(answer(job));
    },
    release: (region, pool, results) => {
      released.push(...results.map((result) => `${region} ${pool} ${result}`));
    },
    markEvictable: () => undefined,
  };
  const ports = {
    clock: createManualClock(),
    client,
    index: INDEX,
    regionOf: (stage: number) => (stage === 0 ? 'home' : 'other'),
    findRegions: () => undefined,
    failureDomain: 'd',
    expectedLate: false,
    answerMs: 100,
    onStageEnded: () => undefined,
  };
  const outcome = await runStages(REQUEST, ports, { signal: new AbortController().signal, round: 1 });
  return { outcome, jobs, released };
};

const answerDone = ({ stage, pieceCount }: StageJob): StageJobResult => ({
  type: 'done',
  results: Array.from({ length: pieceCount }, (_, piece) => `${stage}/${piece}`),
});

test('runs each stage in its region, with the regions of its inputs', async () => {
  const { outcome, jobs } = await run(answerDone);
  assert.deepEqual(
    jobs.map(({ region, job }) => `${region} ${job.pool}`),
    ['home p', 'other q'],
  );
  assert.deepEqual(jobs[1]?.job.inputs, [{ pool: 'p', region: 'home', resultBytes: 1, results: ['0/0', '0/1'] }]);
  assert.deepEqual(outcome.type === 'done' && outcome.results.last, ['1/0']);
});

test('releases results in the region of their stage once the next stage has used them', async () => {
  const { released } = await run(answerDone);
  assert.deepEqual(released, ['home p 0/0', 'home p 0/1']);
});

test('releases the results of earlier stages when a stage fails', async () => {
  const failed: StageJobResult = { type: 'failed', reason: 'late', retryAfterMs: 5 };
  const { outcome, released } = await run((job) => (job.stage === 0 ? answerDone(job) : failed));
  assert.deepEqual(outcome, failed);
  assert.deepEqual(released, ['home p 0/0', 'home p 0/1']);
});

test('rejects, and releases the results of earlier stages, when an exception is thrown over the answer of a stage', async () => {
  const released: string[] = [];
  const running = run((job) => {
    assert.equal(job.stage, 0, 'a fault of this test');
    return answerDone(job);
  }, released);
  await assert.rejects(running, /a fault of this test/);
  assert.deepEqual(released, ['home p 0/0', 'home p 0/1']);
});
