import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MIN_SURVIVAL_MS } from './constants.js';
import createOutputHistory from './createOutputHistory.js';

const POOL = 'engines';

test('output counts when the server survived it, and for a part also while that is open', () => {
  const history = createOutputHistory();
  history.note({ serverId: 's1', pool: POOL, parts: ['a', 'b'] }, 1_000);
  history.note({ serverId: 's2', pool: POOL, parts: ['b'] }, 1_900);
  history.note({ serverId: 's3', pool: POOL, parts: ['c'] }, 1_950);
  history.noteEnded('s3', 1_950 + MIN_SURVIVAL_MS - 1);
  const query = { pool: POOL, parts: ['a', 'b', 'c', 'd'], crashesAtMs: [900, 1_500, 2_000] };
  assert.deepEqual(history.summarise(query, 2_000), {
    lastOutputsAtMs: [1_000, 1_900, undefined, undefined],
    outputCounts: [1, 0],
  });
  assert.deepEqual(history.summarise(query, 3_000).outputCounts, [1, 1]);
  assert.deepEqual(history.summarise({ ...query, pool: 'other' }, 3_000).outputCounts, [0, 0]);
});

test('the outputs of one server for a part do not displace those of others', () => {
  const history = createOutputHistory();
  history.note({ serverId: 's1', pool: POOL, parts: ['a'] }, 0);
  for (let atMs = 1_000; atMs < 1_100; atMs += 1) {
    history.note({ serverId: 's2', pool: POOL, parts: ['a'] }, atMs);
  }
  history.noteEnded('s2', 1_200);
  assert.deepEqual(history.summarise({ pool: POOL, parts: ['a'], crashesAtMs: [] }, 2_000).lastOutputsAtMs, [0]);
});
