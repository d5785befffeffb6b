import assert from 'node:assert/strict';
import { test } from 'node:test';
import createWorkLedger from './createWorkLedger.js';
import decideEntry, { type EntryOutlook } from './decideEntry.js';
import planPipeline, { type PipelineOutlook } from './planPipeline.js';
import type { PipelineNeed, StagePoolState } from './types.js';

const SPEC = {
  parallelCalls: 1,
  queuedCalls: 2,
  maxPieces: 7,
  callMs: 200,
  pieceMs: 24,
  resultMemoryBytes: 1e7,
  keepResultMs: 4_000,
};
const POOL: StagePoolState = { spec: SPEC, speed: 4, pieceMs: new Map() };

const NEED: PipelineNeed = {
  requestId: 'r1',
  value: 1,
  stages: [
    { pool: 'first', after: [], pieces: 2, kind: 'k0', resultBytes: 8_000 },
    { pool: 'second', after: [0], pieces: 3, kind: 'k1', resultBytes: 6_000 },
  ],
  dueAtMs: 1_100,
  deadlineAtMs: 6_000,
  arrivedAtMs: 0,
};

const outlookWith = (loads: (minValue: number) => number): EntryOutlook => ({
  nowMs: 0,
  home: { region: 'r', findPool: () => POOL, loadMs: (_, minValue) => loads(minValue) },
  others: [],
  answerMs: 150,
});

test('predicts dependent stages in sequence, and no time for stages without pieces', () => {
  const home = { region: 'r', findPool: () => POOL, loadMs: () => 0 };
  const outlook: PipelineOutlook = { nowMs: 0, home, others: [], answerMs: 150 };
  const both = planPipeline(NEED, outlook).endAtMs;
  const one = planPipeline(
    { ...NEED, stages: NEED.stages.map((stage, index) => (index === 1 ? { ...stage, pieces: 0 } : stage)) },
    outlook,
  ).endAtMs;
  assert.ok(one >= 200 + 48 + 150);
  assert.ok(both - one >= 200 + 72);
});

test('admits a request as on time without load', () => {
  assert.equal(
    decideEntry(
      NEED,
      outlookWith(() => 0),
    ).type,
    'on-time',
  );
});

test('admits a request as late if it is expected after its due time but well within its deadline', () => {
  assert.equal(
    decideEntry(
      NEED,
      outlookWith(() => 1_500),
    ).type,
    'late',
  );
});

test('refuses a request that would miss its deadline, with a retry delay that ends before the deadline', () => {
  const decision = decideEntry(
    NEED,
    outlookWith(() => 9_000),
  );
  assert.equal(decision.type, 'refused');
  assert.ok(decision.type === 'refused' && decision.retryAfterMs >= 150 && decision.retryAfterMs <= 2_000);
});

test('ignores the load of requests of a much lower value', () => {
  const mostlyCheap = outlookWith((minValue) => (minValue > 0.5 ? 0 : 9_000));
  assert.equal(decideEntry(NEED, mostlyCheap).type, 'on-time');
});

test('counts work from the admission of its request to the end of its stage', () => {
  const ledger = createWorkLedger('r', (pool) => (pool === 'gone' ? undefined : POOL));
  ledger.add(NEED);
  const each = (200 / 7 + 24) / 4;
  assert.ok(Math.abs(ledger.loadMs('second', 0) - 3 * each) < 1e-9);
  assert.equal(ledger.loadMs('second', 2), 0);
  assert.equal(ledger.loadMs('gone', 0), 0);
  ledger.endStage('r1', 0);
  assert.equal(ledger.loadMs('first', 0), 0);
  ledger.expire(NEED.deadlineAtMs);
  assert.equal(ledger.size, 0);
});

test('a pool without servers has a large and finite load', () => {
  const ledger = createWorkLedger('r', () => ({ ...POOL, speed: 0 }));
  ledger.add(NEED);
  assert.ok(ledger.loadMs('first', 0) > 500 && Number.isFinite(ledger.loadMs('first', 0)));
});

test('admits the first requests of a burst as on time, and no later one', () => {
  // 60 simultaneous requests for pools that process about 75 pieces/s: about 1.1 s of work for 4 servers is admitted.
  const ledger = createWorkLedger('r', () => POOL);
  const types = Array.from({ length: 60 }, (_, index) => {
    const need = { ...NEED, requestId: String(index) };
    const home = { region: 'r', findPool: () => POOL, loadMs: (pool: string, min: number) => ledger.loadMs(pool, min) };
    const decision = decideEntry(need, { ...outlookWith(() => 0), home });
    if (decision.type !== 'refused') {
      ledger.add(need);
    }
    return decision.type;
  });
  const firstLate = types.findIndex((type) => type !== 'on-time');
  assert.ok(firstLate > 5 && firstLate < 40, `first late ${firstLate}`);
  assert.ok(types.slice(firstLate).every((type) => type !== 'on-time'));
});
