import assert from 'node:assert/strict';
import { test } from 'node:test';
import planAgreement, { type AgreementView } from './planAgreement.js';

const LIFE_MS = 40_000;
const V1 = { pool: 'lm', softwareVersion: 'v1' };
const V2 = { pool: 'lm', softwareVersion: 'v2' };

const viewOf = (versions: readonly string[], changes: Partial<AgreementView> = {}): AgreementView => ({
  agreed: new Map(),
  routes: [{ name: 'chat', pools: ['lm'] }],
  versionsOf: (pool) => (pool === 'lm' ? versions : []),
  unservedSinceMs: new Map(),
  streamLifeMs: LIFE_MS,
  nowMs: 0,
  ...changes,
});

test('a route without an agreed origin gets the version with the most servers', () => {
  assert.deepEqual(planAgreement(viewOf(['v1', 'v2', 'v2'])).agreed.get('chat'), V2);
  assert.equal(planAgreement(viewOf([])).agreed.size, 0);
});

test('an agreed origin stays while one server has its version', () => {
  const agreed = new Map([['chat', V1]]);
  const plan = planAgreement(viewOf(['v1', 'v2', 'v2'], { agreed, nowMs: 10 * LIFE_MS }));
  assert.equal(plan.agreed, agreed);
  assert.equal(plan.unservedSinceMs.size, 0);
});

test('an agreed origin without servers is replaced only after the life of a stream', () => {
  const agreed = new Map([['chat', V1]]);
  const first = planAgreement(viewOf(['v2'], { agreed, nowMs: 1_000 }));
  assert.equal(first.agreed, agreed);
  const before = { agreed, unservedSinceMs: first.unservedSinceMs };
  assert.equal(planAgreement(viewOf(['v2'], { ...before, nowMs: LIFE_MS })).agreed, agreed);
  assert.deepEqual(planAgreement(viewOf(['v2'], { ...before, nowMs: 1_000 + LIFE_MS })).agreed.get('chat'), V2);
});

test('the wait begins anew when a server of the agreed version comes back', () => {
  const agreed = new Map([['chat', V1]]);
  const back = planAgreement(viewOf(['v1'], { agreed, unservedSinceMs: new Map([['chat', 0]]), nowMs: LIFE_MS - 1 }));
  const gone = planAgreement(viewOf(['v2'], { agreed, unservedSinceMs: back.unservedSinceMs, nowMs: LIFE_MS + 1 }));
  assert.equal(gone.agreed, agreed);
});

test('a route that moves to another pool keeps its agreed origin for the life of a stream', () => {
  const agreed = new Map([['chat', V1]]);
  const moved = { routes: [{ name: 'chat', pools: ['other'] }], versionsOf: () => ['v1'] };
  const first = planAgreement(viewOf([], { agreed, ...moved }));
  assert.equal(first.agreed, agreed);
  const later = { agreed, ...moved, unservedSinceMs: first.unservedSinceMs, nowMs: LIFE_MS };
  assert.deepEqual(planAgreement(viewOf([], later)).agreed.get('chat'), { pool: 'other', softwareVersion: 'v1' });
});

test('the agreed origin of a route that was removed is dropped after the life of a stream', () => {
  const agreed = new Map([['chat', V1]]);
  const first = planAgreement(viewOf(['v1'], { agreed, routes: [] }));
  assert.equal(first.agreed, agreed);
  const later = { agreed, routes: [], unservedSinceMs: first.unservedSinceMs, nowMs: LIFE_MS };
  assert.equal(planAgreement(viewOf(['v1'], later)).agreed.size, 0);
});

test('a route whose streams could not be resumed agrees on an origin only after the life of a stream', () => {
  const before = planAgreement(viewOf(['v1'], { agreed: new Map([['chat', V1]]), unresumableRoutes: ['chat'] }));
  assert.notDeepEqual(before.agreed.get('chat'), V1);
  const { agreed } = before;
  assert.equal(planAgreement(viewOf(['v1'], { agreed, unresumableRoutes: ['chat'], nowMs: LIFE_MS })).agreed, agreed);
  const first = planAgreement(viewOf(['v2'], { agreed }));
  assert.equal(first.agreed, agreed);
  const later = { agreed, unservedSinceMs: first.unservedSinceMs, nowMs: LIFE_MS };
  assert.deepEqual(planAgreement(viewOf(['v2'], later)).agreed.get('chat'), V2);
});
