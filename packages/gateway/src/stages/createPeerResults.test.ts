import assert from 'node:assert/strict';
import { test } from 'node:test';
import createTestPeer from '../testing/createTestPeer.js';
import createPeerResults from './createPeerResults.js';
import type { ReleasedResults } from './messages.js';

const done = (...results: readonly string[]) => ({ type: 'done' as const, results });

test('releases the results of a lost host by pool, and none of other hosts', () => {
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

test('returns the outcome of a failed job unchanged', () => {
  const peerResults = createPeerResults(() => assert.fail('nothing to release'));
  const { peer, drop } = createTestPeer();
  const failed = { type: 'failed' as const, reason: 'late' as const, retryAfterMs: 0 };
  assert.equal(peerResults.add(peer, 'p', failed), failed);
  drop();
});
