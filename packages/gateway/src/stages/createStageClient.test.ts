import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createManualClock } from '@bergamotcove/clock';
import listBrokenAnswers from '../testing/listBrokenAnswers.js';
import createStageClient, { type StageClientOptions } from './createStageClient.js';
import type { StageJob, StageJobResult } from './messages.js';

const JOB = {
  pieceCount: 1,
  jobId: 'j',
  pool: 'p',
  requestId: 'r',
  stage: 0,
  dueInMs: 1_000,
  expiresInMs: 3_000,
} as StageJob;
const DONE: StageJobResult = { type: 'done', results: ['a'] };

/** One host in region `home` and two in region `other`; `answer` is the reply of a host of `other` to a job. */
const createFixture = (answer: (hostId: string) => Promise<StageJobResult>) => {
  const asked: string[] = [];
  const silent = new Set<string>();
  const self = { hostId: 'self', region: 'home' };
  const hosts = [self, { hostId: 'far-1', region: 'other' }, { hostId: 'far-2', region: 'other' }].map((host) => ({
    ...host,
    target: host.hostId,
  }));
  const note = (hostId: string): void => {
    silent.add(hostId);
  };
  const client = createStageClient({
    clock: createManualClock(),
    logger: { event: () => undefined },
    hosts: {
      self,
      rankOwners: (_: string, region: string) =>
        hosts.filter((host) => host.region === region && !silent.has(host.hostId)),
      noteMoved: note,
      noteSilent: note,
    },
    links: {
      call: (target: string) => {
        asked.push(target);
        return answer(target);
      },
      notify: () => undefined,
    },
    local: {
      run: () => {
        asked.push('self');
        return Promise.resolve(DONE);
      },
    },
  } as unknown as StageClientOptions);
  const run = (changes = {}) => client.run('other', { ...JOB, ...changes }, new AbortController().signal);
  return { asked, run };
};

test('runs a job in the own region after one failed call to another region', async () => {
  const { asked, run } = createFixture(() => Promise.reject(new Error('no connection')));
  assert.deepEqual(await run(), DONE);
  assert.deepEqual(asked, ['far-1', 'self']);
});

test('sends a job that was answered with moved to the next owner of the region', async () => {
  const moved: StageJobResult = { type: 'failed', reason: 'moved', retryAfterMs: 0 };
  const { asked, run } = createFixture((hostId) => Promise.resolve(hostId === 'far-1' ? moved : DONE));
  assert.deepEqual(await run(), DONE);
  assert.deepEqual(asked, ['far-1', 'far-2']);
});

test('a restricted job whose owner is lost goes to other owners of its region only, and is then refused', async () => {
  const { asked, run } = createFixture(() => Promise.reject(new Error('no connection')));
  const result = await run({ homeRegions: ['other'] });
  assert.equal(result.type, 'failed');
  assert.deepEqual(asked, ['far-1', 'far-2']);
});

listBrokenAnswers().forEach(({ name, answer }) =>
  test(`a job whose owner answers with ${name} is run by another owner`, async () => {
    const { asked, run } = createFixture(() => Promise.resolve(answer as StageJobResult));
    assert.deepEqual(await run(), DONE);
    assert.deepEqual(asked, ['far-1', 'self']);
  }),
);
