import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createManualClock } from '@bergamotcove/clock';
import SAMPLE_BATCH from '../testing/sampleBatch.js';
import createRegionScheduler, { type RegionSchedulerOptions } from './createRegionScheduler.js';
import createTestPeer from '../testing/createTestPeer.js';
import { ENTER, NOTE, PLACE, type EnterAnswer, type EnterRequest, type PlaceAnswer } from './messages.js';

/** The scheduler of a region with one server, which runs stages and generations. */
const createFixture = (clock = createManualClock()) => {
  const server = { serverId: 's', pool: 'p', region: 'r', failureDomain: 'd', state: 'live', startedAtMs: 0 };
  const options = {
    clock,
    logger: { event: () => undefined },
    links: {},
    directory: { list: () => [server], listNear: () => [server], onChange: () => undefined },
    tables: {
      current: () => ({ pools: new Map([['p', { batch: SAMPLE_BATCH, engine: { capacityTokens: 100_000 } }]]) }),
    },
    region: 'r',
  } as unknown as RegionSchedulerOptions;
  const limits = {
    isOwned: () => false,
    closedUntilMs: () => -Infinity,
    maySend: () => true,
    takeOwned: () => assert.fail('no limit'),
    predictTurnMs: () => assert.fail('no limit'),
  };
  return createRegionScheduler({ ...options, limits });
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

test('keeps requests of another host only while they are open', () => {
  const scheduler = createFixture();
  const { peer, drop } = createTestPeer();
  const enter = (requestId: string): string =>
    (scheduler.methods[ENTER]?.(createRequest(requestId), peer) as EnterAnswer).type;
  const answers = Array.from({ length: 100 }, (_, index) => enter(`${index}`));
  const admitted = answers.filter((type) => type === 'admitted').length;
  assert.ok(admitted > 0 && admitted < 100, `${admitted} admitted`);
  assert.equal(scheduler.openRemoteRequests, admitted);
  scheduler.methods[NOTE]?.({ type: 'left', requestId: '0' }, peer);
  assert.equal(scheduler.openRemoteRequests, admitted - 1);
  drop();
  assert.equal(scheduler.openRemoteRequests, 0);
  assert.equal(enter('later'), 'admitted');
});

test('frees engines when the host of a generation is lost, and all when it is no longer the scheduler', () => {
  const clock = createManualClock();
  const scheduler = createFixture(clock);
  const generation = { pool: 'p', parts: [], promptTokens: 3_000 };
  const place = (requestId: string, peer = createTestPeer().peer): number => {
    const facts = { ...generation, requestId, deadlineInMs: 60_000, resultBytes: {}, avoidServers: [] };
    return (scheduler.methods[PLACE]?.(facts, peer) as PlaceAnswer).firstTokenMs ?? Infinity;
  };
  const { peer, drop } = createTestPeer();
  const idleMs = place('lost', peer);
  clock.advance(20_000);
  assert.ok(place('waits') > 2 * idleMs);
  drop();
  scheduler.updateOwnership(false);
  clock.advance(20_000);
  assert.equal(place('later', peer), idleMs);
  drop();
  clock.advance(20_000);
  assert.equal(place('last'), idleMs);
});
