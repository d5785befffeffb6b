import assert from 'node:assert/strict';
import { Readable } from 'node:stream';
import { setTimeout as wait } from 'node:timers/promises';
import { test } from 'node:test';
import { createManualClock } from '@bergamotcove/clock';
import SAMPLE_BATCH from '../testing/sampleBatch.js';
import type { BatchOwnerOptions } from './BatchOwner.js';
import createBatchOwner from './createBatchOwner.js';
import type { StageJob } from './messages.js';

/** Real time in which streams and promises go on; the clock stands still. */
const TURN_MS = 20;

const SERVER = { serverId: 's1', failureDomain: 'd1', startedAtMs: 1 };

const JOB: StageJob = {
  jobId: 'a',
  pool: 'p',
  requestId: 'r',
  fingerprint: 'f',
  stage: 0,
  kind: 'k',
  priority: 0,
  value: 1,
  progress: 0,
  dueInMs: 20_000,
  expiresInMs: 20_000,
  resultBytes: 200,
  failureDomain: 'd1',
  pieceCount: 3,
  key: 'key',
  inputs: [],
};

/** An owner of one server with room for the results of one job; tests answer its calls and releases. */
const createFixture = () => {
  const clock = createManualClock();
  const calls: (() => void)[] = [];
  const releases: (() => void)[] = [];
  let made = 0;
  const owner = createBatchOwner({
    clock,
    logger: { event: () => {} },
    metrics: { report: () => {} },
    http: {
      open: () =>
        new Promise((resolve) => {
          const body = Object.assign(Readable.from([Buffer.from('')]), {
            statusCode: 200,
            headers: {},
            socket: { destroy: () => {} },
          });
          calls.push(() => resolve(body));
        }),
      send: () =>
        new Promise((resolve) => {
          releases.push(() => resolve({ status: 200, headers: {} }));
        }),
    },
    format: {
      formatHeaders: () => [],
      formatRun: () => '',
      formatRelease: () => '',
      readNotice: () => ({}),
      readRun: () =>
        Array.from({ length: JOB.pieceCount }, () => {
          made += 1;
          return { type: 'done', result: `x${made}` };
        }),
    },
    directory: {
      listNear: () => [SERVER],
      find: () => SERVER,
      isEvacuated: () => false,
      readBackoffEndMs: () => 0,
      applyNotice: () => {},
    },
    limits: {
      isLimited: () => false,
      closedUntilMs: () => 0,
      readIntervalMs: () => undefined,
      noteAnswer: () => {},
      maySend: () => true,
      noteEnd: () => {},
    },
    crashes: {
      readBlockMs: () => undefined,
      isSuspect: () => false,
      watch: () => ({ end: () => Promise.resolve() }),
    },
    pool: 'p',
    spec: { ...SAMPLE_BATCH, resultMemoryBytes: 1_300 },
    region: 'a',
    markInputsEvictable: () => {},
    onState: () => {},
  } as unknown as BatchOwnerOptions);
  const pass = async (ms: number): Promise<void> => {
    await wait(TURN_MS);
    clock.advance(ms);
    await wait(TURN_MS);
  };
  return { owner, calls, releases, pass };
};

test('counts a result as freed when its release is answered, because the next call may overtake the release', async () => {
  const { owner, calls, releases, pass } = createFixture();
  const first = owner.run(JOB);
  await pass(10);
  calls[0]?.();
  await pass(200);
  const result = await first;
  owner.run({ ...JOB, jobId: 'b' }).catch(() => {});
  owner.release(result.type === 'done' ? result.results : []);
  await pass(10);
  assert.equal(releases.length, 1);
  assert.equal(calls.length, 1);
  releases[0]?.();
  await pass(10);
  assert.equal(calls.length, 2);
  owner.close();
});

test('frees the results of a job that ended before its call was answered', async () => {
  const { owner, calls, releases, pass } = createFixture();
  owner.run(JOB).catch(() => {});
  await pass(10);
  owner.cancel('a');
  calls[0]?.();
  await pass(200);
  await pass(10);
  releases[0]?.();
  await pass(10);
  owner.run({ ...JOB, jobId: 'b' }).catch(() => {});
  await pass(10);
  assert.equal(calls.length, 2);
  owner.close();
});
