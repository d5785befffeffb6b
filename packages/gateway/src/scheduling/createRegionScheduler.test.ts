import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createManualClock } from '@bergamotcove/clock';
import SAMPLE_BATCH from '../testing/sampleBatch.js';
import createRegionScheduler, { type RegionSchedulerOptions } from './createRegionScheduler.js';
import createTestPeer from '../testing/createTestPeer.js';
import {
  ENTER,
  NOTE,
  PLACE,
  REPORT_REGION,
  type EnterAnswer,
  type EnterRequest,
  type PlaceAnswer,
} from './messages.js';

const SERVER = { serverId: 's', pool: 'p', region: 'r', failureDomain: 'd', state: 'live', startedAtMs: 0 };

/** The scheduler of region `r`, by default with one server, which runs stages and generations. */
const createFixture = (clock = createManualClock(), servers: readonly object[] = [SERVER]) => {
  const options = {
    clock,
    logger: { event: () => undefined },
    links: {},
    directory: { list: () => servers, listNear: () => servers, onChange: () => undefined },
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

test('a generation gets engines of its regions only when the region has none and all are listed', () => {
  const far = (serverId: string, region: string) => ({ ...SERVER, serverId, region });
  const scheduler = createFixture(createManualClock(), [far('s1', 'r1'), far('s2', 'r2')]);
  const generation = { pool: 'p', parts: [], promptTokens: 3_000, resultBytes: {}, avoidServers: [] };
  const place = (requestId: string, homeRegions: readonly string[]) =>
    scheduler.place({ ...generation, requestId, homeRegions }).serverId;
  const requests = Array.from({ length: 8 }, (_, index) => `${index}`);
  assert.deepEqual([...new Set(requests.map((id) => place(id, ['r2', 'r3'])))], ['s2']);
  assert.equal(place('none', ['r3']), undefined);
});

test('a request is sent to another region, as a whole or in part, only if it may be served there', () => {
  const scheduler = createFixture(createManualClock(), [SERVER, { ...SERVER, serverId: 's2', region: 'other' }]);
  const { peer } = createTestPeer();
  scheduler.methods[REPORT_REGION]?.(
    { region: 'other', speeds: { p: { speed: 1, pieceMs: {} } }, loadsMs: {}, sentMs: {} },
    peer,
  );
  const enter = (requestId: string, changes: Partial<EnterRequest>): EnterAnswer =>
    scheduler.enter({ ...createRequest(requestId), ...changes });
  // Own requests that fill the region.
  Array.from({ length: 100 }, (_, index) => enter(`${index}`, { homeRegions: ['r'] }));
  const restricted = enter('restricted', { homeRegions: ['r'], visiting: false });
  assert.ok(restricted.type === 'refused' || (restricted.type === 'admitted' && restricted.regions[0] === 'r'));
  const free = enter('free', { visiting: false });
  assert.ok(free.type === 'elsewhere' || (free.type === 'admitted' && free.regions[0] === 'other'), free.type);
});
