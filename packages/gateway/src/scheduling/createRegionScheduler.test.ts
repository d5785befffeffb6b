import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createManualClock } from '@bergamotcove/clock';
import SAMPLE_BATCH from '../testing/sampleBatch.js';
import createRegionScheduler, { type RegionSchedulerOptions } from './createRegionScheduler.js';
import createTestPeer from '../testing/createTestPeer.js';
import { ENTER, NOTE, type EnterAnswer, type EnterRequest } from './messages.js';

/** A region with one stage server. */
const createWorld = () => {
  const server = { serverId: 's', pool: 'p', region: 'r', failureDomain: 'd', state: 'live', startedAtMs: 0 };
  const options = {
    clock: createManualClock(),
    logger: { event: () => undefined },
    links: {},
    directory: { list: () => [server], onChange: () => undefined },
    tables: { current: () => ({ pools: new Map([['p', { batch: SAMPLE_BATCH }]]) }) },
    region: 'r',
  } as unknown as RegionSchedulerOptions;
  return createRegionScheduler(options);
};

const createRequest = (requestId: string): EnterRequest => ({
  requestId,
  value: 1,
  stages: [{ pool: 'p', after: [], pieces: 4, kind: 'k', resultBytes: 1 }],
  dueInMs: 1_000,
  deadlineInMs: 3_000,
  generation: undefined,
  visiting: true,
});

test('remembers requests of another host only while they are open', () => {
  const scheduler = createWorld();
  const { peer, drop } = createTestPeer();
  const enter = (requestId: string): string =>
    (scheduler.methods[ENTER]?.(createRequest(requestId), peer) as EnterAnswer).type;
  const answers = Array.from({ length: 100 }, (_, index) => enter(`${index}`));
  const admitted = answers.filter((type) => type === 'admitted').length;
  assert.ok(admitted > 0 && admitted < 100, `${admitted} admitted`);
  assert.equal(scheduler.openVisits, admitted);
  scheduler.methods[NOTE]?.({ type: 'left', requestId: '0' }, peer);
  assert.equal(scheduler.openVisits, admitted - 1);
  drop();
  assert.equal(scheduler.openVisits, 0);
  assert.equal(enter('later'), 'admitted');
});
