import assert from 'node:assert/strict';
import { test } from 'node:test';
import createTestPeer from '../testing/createTestPeer.js';
import createHoldings from './createHoldings.js';
import type { ReleasedResults } from './messages.js';

const done = (...results: readonly string[]) => ({ type: 'done' as const, results });

test('gives up what a lost host held, by pool, and nothing of others', () => {
  const released: ReleasedResults[] = [];
  const holdings = createHoldings((one) => released.push(one));
  const [lost, other] = [createTestPeer(), createTestPeer()];
  holdings.note(lost.peer, 'p', done('a', 'b'));
  holdings.note(lost.peer, 'q', done('c'));
  holdings.note(other.peer, 'p', done('d'));
  holdings.forget(lost.peer, { pool: 'p', results: ['a'] });
  lost.drop();
  assert.deepEqual(released, [
    { pool: 'p', results: ['b'] },
    { pool: 'q', results: ['c'] },
  ]);
});

test('passes results through, also of jobs that failed', () => {
  const holdings = createHoldings(() => assert.fail('nothing is held'));
  const { peer, drop } = createTestPeer();
  const failed = { type: 'failed' as const, reason: 'late' as const, retryAfterMs: 0 };
  assert.equal(holdings.note(peer, 'p', failed), failed);
  drop();
});
