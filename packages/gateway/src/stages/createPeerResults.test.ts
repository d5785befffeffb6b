import assert from 'node:assert/strict';
import { test } from 'node:test';
import createTestPeer from '../testing/createTestPeer.js';
import createPeerResults from './createPeerResults.js';
import type { ReleasedResults } from './messages.js';

const done = (...results: readonly string[]) => ({ type: 'done' as const, results });

test('gives up what a lost host held, by pool, and nothing of others', () => {
  const released: ReleasedResults[] = [];
  const peerResults = createPeerResults((one) => released.push(one));
  const [lost, other] = [createTestPeer(), createTestPeer()];
  peerResults.add(lost.peer, 'p', done('a', 'b'));
  peerResults.add(lost.peer, 'q', done('c'));
  peerResults.add(other.peer, 'p', done('d'));
  peerResults.remove(lost.peer, { pool: 'p', results: ['a'] });
  lost.drop();
  assert.deepEqual(released, [
    { pool: 'p', results: ['b'] },
    { pool: 'q', results: ['c'] },
  ]);
});

test('passes results through, also of jobs that failed', () => {
  const peerResults = createPeerResults(() => assert.fail('nothing is held'));
  const { peer, drop } = createTestPeer();
  const failed = { type: 'failed' as const, reason: 'late' as const, retryAfterMs: 0 };
  assert.equal(peerResults.add(peer, 'p', failed), failed);
  drop();
});
