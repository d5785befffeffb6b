import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { EnterRequest, PlaceRequest } from '../scheduling/messages.js';
import type HeldResults from './HeldResults.js';
import Reservation, { type ReservationPorts } from './Reservation.js';
import type { ForwardRequest } from './types.js';

const STAGES = [{ pool: 'stage', after: [], resultBytes: 1 }];
const REQUEST = {
  requestId: 'a',
  route: { name: 'x', stages: STAGES, objectiveMs: 1_000 },
  facts: { pieceCounts: [1], generation: { parts: [], promptTokens: 1 } },
  deadlineAtMs: 1_000,
} as unknown as ForwardRequest;
const RESULTS = { listLast: () => [] } as unknown as HeldResults;
const ANY_ENGINE = { avoidServers: [], softwareVersion: undefined };
const SERVERS = [
  { serverId: 's1', region: 'r1' },
  { serverId: 's2', region: 'r2' },
];

/** The entry of a request at a host of region `r1`; the scheduler names an engine and a region for the stage. */
const createFixture = (regions: readonly string[] | undefined, engine: string, stageRegion = 'r1') => {
  const state = { regions };
  const asked: { readonly region: string | undefined; readonly message: EnterRequest | PlaceRequest }[] = [];
  const notes: object[] = [];
  const reservation = new Reservation(REQUEST, 'engines', {
    clock: { monotonicMs: () => 0 },
    region: 'r1',
    limits: { closedUntilMs: () => -Infinity },
    stageFormat: {},
    directory: {
      list: () => SERVERS,
      listExcluded: () => [],
      find: (serverId: string) => SERVERS.find((server) => server.serverId === serverId),
    },
    residency: { findRegions: () => state.regions },
    scheduler: {
      enter: (message: EnterRequest, region?: string) => {
        asked.push({ region, message });
        return Promise.resolve({ type: 'admitted', region: region ?? 'r1', tier: 'on-time', regions: [stageRegion] });
      },
      place: (region: string, message: PlaceRequest) => {
        asked.push({ region, message });
        return Promise.resolve({ serverId: engine });
      },
      note: (region: string, note: object) => notes.push({ region, ...note }),
    },
  } as unknown as ReservationPorts);
  return { state, asked, notes, reservation };
};

test('the scheduler of a permitted region is asked, and a stage in a forbidden region is moved to a permitted one', async () => {
  const { asked, reservation } = createFixture(['r2'], 's2', 'r1');
  await reservation.enter();
  assert.deepEqual([asked[0]?.region, asked[0]?.message.homeRegions], ['r2', ['r2']]);
  assert.equal(reservation.regionOf(0), 'r2');
  assert.deepEqual(await reservation.place(RESULTS, ANY_ENGINE), { serverId: 's2' });
  assert.deepEqual([asked[1]?.region, asked[1]?.message.homeRegions], ['r2', ['r2']]);
});

// Guards against schedulers of an earlier build, which name engines of any region.
test('an engine of a forbidden region is not used, and its scheduler is told so', async () => {
  const { notes, reservation } = createFixture(['r2'], 's1');
  await reservation.enter();
  assert.deepEqual(await reservation.place(RESULTS, ANY_ENGINE), {});
  assert.deepEqual(notes, [
    { region: 'r2', type: 'engine', pool: 'engines', event: { type: 'ended', requestId: 'a' } },
  ]);
});

test('a request without a restriction asks the own region without naming regions', async () => {
  const { asked, reservation } = createFixture(undefined, 's2', 'r2');
  await reservation.enter();
  assert.deepEqual(await reservation.place(RESULTS, ANY_ENGINE), { serverId: 's2' });
  assert.deepEqual(
    asked.map(({ region, message }) => [region, 'homeRegions' in message]),
    [
      [undefined, false],
      ['r1', false],
    ],
  );
  assert.equal(reservation.regionOf(0), 'r2');
});

test('a request is outside its regions once a table forbids the one that it was assigned', async () => {
  const { state, reservation } = createFixture(['r2'], 's2');
  assert.equal(reservation.isWithin(['r1']), true);
  const entering = reservation.enter();
  assert.deepEqual([(await entering).type, reservation.isWithin(['r1'])], ['admitted', false]);
  state.regions = ['r1'];
  const second = createFixture(['r2'], 's2');
  const refused = second.reservation.enter();
  second.state.regions = ['r1'];
  assert.equal((await refused).type, 'refused');
});
