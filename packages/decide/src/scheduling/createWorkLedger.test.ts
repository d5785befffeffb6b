import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import createWorkLedger from './createWorkLedger.js';
import type { PipelineNeed, StagePoolState } from './types.js';

const SPEC = {
  parallelCalls: 1,
  queuedCalls: 2,
  maxPieces: 10,
  callMs: 200,
  pieceMs: 20,
  resultMemoryBytes: 1e7,
  keepResultMs: 4_000,
};
const POOL: StagePoolState = { spec: SPEC, speed: 2, pieceMs: new Map([['quick', 5]]) };

const createNeed = (requestId: string, changes: Partial<PipelineNeed> = {}): PipelineNeed => ({
  requestId,
  value: 1,
  stages: [
    { pool: 'p', after: [], pieces: 2, kind: 'k', resultBytes: 1 },
    { pool: 'q', after: [0], pieces: 3, kind: 'quick', resultBytes: 1 },
  ],
  dueAtMs: 1_000,
  deadlineAtMs: 6_000,
  arrivedAtMs: 0,
  ...changes,
});

test('counts the work of each stage in its region until the stage ends', () => {
  const ledger = createWorkLedger('a', () => POOL);
  ledger.add(createNeed('r'), ['a', 'b']);
  assert.equal(ledger.loadMs('p', 0), (2 * (20 + 20)) / 2);
  assert.equal(ledger.loadMs('q', 0), 0);
  assert.equal(ledger.loadMs('q', 0, 'b'), (3 * (20 + 5)) / 2);
  ledger.endStage('r', 0);
  ledger.endStage('r', 0);
  assert.equal(ledger.loadMs('p', 0), 0);
  ledger.remove('r');
  assert.equal(ledger.loadMs('q', 0, 'b'), 0);
});

test('counts a request once when it is added again', () => {
  const ledger = createWorkLedger('a', () => POOL);
  ledger.add(createNeed('r'));
  ledger.add(createNeed('r', { deadlineAtMs: 9_000 }));
  assert.equal(ledger.size, 1);
  assert.equal(ledger.loadMs('p', 0), 40);
  ledger.expire(7_000);
  assert.equal(ledger.size, 1);
});

const HOLDS = [
  { callMs: 300, waitMs: 100 },
  { callMs: 300, waitMs: 200 },
];

test('counts the memory of results until the stages that read them have ended, and of the last until the answer', () => {
  const ledger = createWorkLedger('a', () => POOL);
  ledger.add(createNeed('r'), [], HOLDS);
  assert.equal(ledger.roomByteMs('p', 0), 2 * 400);
  assert.equal(ledger.roomByteMs('q', 0), 3 * 500);
  ledger.endStage('r', 0);
  assert.equal(ledger.roomByteMs('p', 0), 2 * 100);
  ledger.endStage('r', 1);
  assert.equal(ledger.roomByteMs('p', 0) ?? 0, 0);
  assert.equal(ledger.roomByteMs('q', 0), 3 * 200);
  ledger.releaseResults('r');
  assert.equal(ledger.roomByteMs('q', 0) ?? 0, 0);
  ledger.remove('r');
  assert.equal(ledger.roomByteMs('q', 0) ?? 0, 0);
});

test('a kind waits for memory of other kinds only as much as it takes itself', () => {
  const ledger = createWorkLedger('a', () => POOL);
  const addKind = (requestId: string, kind: string): void =>
    ledger.add(
      createNeed(requestId, { stages: [{ pool: 'p', after: [], pieces: 1, kind, resultBytes: 1 }] }),
      [],
      HOLDS.slice(0, 1),
    );
  ['b1', 'b2', 'b3', 'b4'].forEach((requestId) => addKind(requestId, 'burst'));
  assert.equal(ledger.roomByteMs('p', 0, { kind: 'other' }) ?? 0, 0);
  addKind('o', 'other');
  assert.equal(ledger.roomByteMs('p', 0, { kind: 'other' }), 2 * 400);
  assert.equal(ledger.roomByteMs('p', 0, { kind: 'burst' }), 5 * 400);
  assert.equal(ledger.roomByteMs('p', 0, { kind: 'burst', aboveByteMs: 5 * 400 }), undefined);
});

test('removes requests at their deadline', () => {
  const ledger = createWorkLedger('a', () => POOL);
  ledger.add(createNeed('r'));
  ledger.expire(5_999);
  assert.equal(ledger.size, 1);
  ledger.expire(6_000);
  assert.equal(ledger.size, 0);
  assert.equal(ledger.loadMs('p', 0), 0);
});

test('the load equals the open work after any sequence of additions, ends and removals', () => {
  const step = fc.record({
    requestId: fc.constantFrom('r0', 'r1', 'r2', 'r3'),
    value: fc.constantFrom(0.01, 0.2, 1, 3),
    type: fc.constantFrom('add', 'end', 'remove'),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 40 }), fc.constantFrom(0, 0.05, 0.5, 2), (steps, least) => {
      const ledger = createWorkLedger('a', () => POOL);
      const open = new Map<string, { readonly value: number; first: boolean }>();
      steps.forEach(({ requestId, value, type }) => {
        if (type === 'add') {
          ledger.add(createNeed(requestId, { value }));
          open.set(requestId, { value, first: true });
        } else if (type === 'end') {
          ledger.endStage(requestId, 0);
          const known = open.get(requestId);
          if (known !== undefined) {
            known.first = false;
          }
        } else {
          ledger.remove(requestId);
          open.delete(requestId);
        }
      });
      const counted = [...open.values()].filter(({ value, first }) => first && value >= least).length;
      const all = [...open.values()].filter(({ value }) => value >= least).length;
      const roomByteMs = counted * 2 * 450 + (all - counted) * 2 * 150;
      return (
        Math.abs(ledger.loadMs('p', least) - counted * 40) < 1e-6 && (ledger.roomByteMs('p', least) ?? 0) === roomByteMs
      );
    }),
  );
});
