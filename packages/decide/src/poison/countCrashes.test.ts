import assert from 'node:assert/strict';
import { test } from 'node:test';
import advancePoison from './advancePoison.js';
import { POISON_BLOCK_MS } from './constants.js';
import countCrashes from './countCrashes.js';

test('counts the crashes in which a request ran until they expire', () => {
  const crash = { type: 'crash' as const, fingerprints: ['f'] };
  const { state: first } = advancePoison({ crashes: [], blocks: new Map() }, { ...crash, serverId: 's1' }, 0);
  const { state } = advancePoison(first, { ...crash, serverId: 's2' }, 5_000);
  assert.deepEqual(
    [5_000, POISON_BLOCK_MS, POISON_BLOCK_MS + 5_000].map((nowMs) => countCrashes(state, 'f', nowMs)),
    [2, 1, 0],
  );
  assert.equal(countCrashes(state, 'g', 5_000), 0);
});
