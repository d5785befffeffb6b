import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createManualClock } from '@bergamotcove/clock';
import createStageClient, { type StageClientOptions } from './createStageClient.js';
import type { StageJob, StageJobResult } from './messages.js';

const JOB = { jobId: 'j', pool: 'p', requestId: 'r', stage: 0, dueInMs: 1_000, expiresInMs: 3_000 } as StageJob;
const DONE: StageJobResult = { type: 'done', results: ['a'] };

/** Hosts of a region beside those of another one; `answer` gives what a host of the other one does with a job. */
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
  return { asked, run: () => client.run('other', JOB, new AbortController().signal) };
};

test('work for a region that is cut off is done in the own one after one try', async () => {
  const { asked, run } = createFixture(() => Promise.reject(new Error('no connection')));
  assert.deepEqual(await run(), DONE);
  assert.deepEqual(asked, ['far-1', 'self']);
});

test('work that another host of the region owns now goes there', async () => {
  const moved: StageJobResult = { type: 'failed', reason: 'moved', retryAfterMs: 0 };
  const { asked, run } = createFixture((hostId) => Promise.resolve(hostId === 'far-1' ? moved : DONE));
  assert.deepEqual(await run(), DONE);
  assert.deepEqual(asked, ['far-1', 'far-2']);
});
