import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createManualClock } from '@bergamotcove/clock';
import { createWorkLedger, type WorkLedger } from '@bergamotcove/decide';
import type { BackendDirectory } from '../catalogue/BackendDirectory.js';
import SAMPLE_BATCH from '../testing/sampleBatch.js';
import createRegionLoads from './createRegionLoads.js';

/** The loads of a region; region `a` has two servers of the pool, region `b` has one. */
const createFixture = (region = 'a') => {
  const clock = createManualClock();
  const servers = [{ region: 'a' }, { region: 'a' }, { region: 'b' }];
  let ledger: WorkLedger | undefined;
  const loads = createRegionLoads({
    clock,
    directory: { list: (pool: string) => (pool === 'p' ? servers : []) } as unknown as BackendDirectory,
    region,
    findSpec: () => SAMPLE_BATCH,
    ledger: () => ledger as WorkLedger,
  });
  ledger = createWorkLedger(region, (pool, of) => loads.findPool(pool, of));
  return { clock, loads, ledger };
};

const createNeed = (requestId: string, value: number) => ({
  requestId,
  value,
  stages: [{ pool: 'p', after: [], pieces: 4, kind: 'k', resultBytes: 1 }],
  dueAtMs: 1_000,
  deadlineAtMs: 3_000,
  arrivedAtMs: 0,
});

test('counts the work that another region sends here', () => {
  const [a, b] = [createFixture('a'), createFixture('b')];
  [a, b].forEach(({ loads }) => loads.notePool({ pool: 'p', speed: 9, pieceMs: {} }));
  a.ledger.add(createNeed('sent', 1), ['b']);
  a.ledger.add(createNeed('kept', 1));
  b.loads.noteRegion(a.loads.report('b'));
  // There is one server in b and there are two in a; 4 pieces take one call.
  assert.equal(b.loads.home().loadMs('p', 0), 300);
  assert.equal(a.loads.home().loadMs('p', 0), 150);
});

test('counts work that is sent to another region there at once, and only once', () => {
  const [a, b] = [createFixture('a'), createFixture('b')];
  [a, b].forEach(({ loads }) => loads.notePool({ pool: 'p', speed: 9, pieceMs: {} }));
  b.ledger.add(createNeed('own', 1));
  a.loads.noteRegion(b.loads.report('a'));
  const readRemoteMs = () => a.loads.others()[0]?.loadMs('p', 0);
  assert.equal(readRemoteMs(), 300);
  a.ledger.add(createNeed('sent', 1), ['b']);
  assert.equal(readRemoteMs(), 600);
  b.loads.noteRegion(a.loads.report('b'));
  a.loads.noteRegion(b.loads.report('a'));
  assert.equal(readRemoteMs(), 600);
});

test('reports load by minimum value, so that work of low value does not delay work of high value', () => {
  const [a, b] = [createFixture('a'), createFixture('b')];
  b.loads.notePool({ pool: 'p', speed: 9, pieceMs: {} });
  b.ledger.add(createNeed('cheap', 0.02));
  b.ledger.add(createNeed('dear', 1));
  a.loads.noteRegion(b.loads.report('a'));
  const [pools] = a.loads.others();
  assert.deepEqual([pools?.loadMs('p', 0), pools?.loadMs('p', 0.6)], [600, 300]);
});

test('does not use regions without a valid report, nor pools without servers', () => {
  const [a, b] = [createFixture('a'), createFixture('b')];
  assert.equal(a.loads.others().length, 0);
  a.loads.noteRegion(b.loads.report('a'));
  assert.equal(a.loads.others()[0]?.findPool('q'), undefined);
  a.clock.advance(1_500);
  assert.equal(a.loads.others().length, 0);
});

test('tells the room of the servers in a region, and another region sees a pool without room as loaded', () => {
  const [a, b] = [createFixture('a'), createFixture('b')];
  [a, b].forEach(({ loads }) => loads.notePool({ pool: 'p', speed: 9, pieceMs: {} }));
  assert.equal(a.loads.findPool('p', 'a')?.roomBytes, 2 * SAMPLE_BATCH.resultMemoryBytes);
  assert.equal(a.loads.findPool('p', 'b')?.roomBytes, SAMPLE_BATCH.resultMemoryBytes);
  const need = createNeed('large', 1);
  const resultBytes = SAMPLE_BATCH.resultMemoryBytes / 4;
  a.ledger.add({ ...need, stages: need.stages.map((stage) => ({ ...stage, resultBytes })) });
  b.loads.noteRegion(a.loads.report('b'));
  // A quarter of a server's room for 4 pieces and 450 ms, at two servers with a tenth of their room left free.
  assert.equal(b.loads.others()[0]?.loadMs('p', 0), 250);
  assert.equal(a.loads.home().loadMs('p', 0), 150);
});
