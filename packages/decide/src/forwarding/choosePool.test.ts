import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import choosePool from './choosePool.js';

test('chooses pools in proportion to their weights', () => {
  const shares = [
    { pool: 'a', weight: 1 },
    { pool: 'b', weight: 3 },
  ];
  const chosen = [0, 0.1, 0.24, 0.25, 0.9, 0.999].map((random) => choosePool(shares, random));
  assert.deepEqual(chosen, ['a', 'a', 'a', 'b', 'b', 'b']);
});

test('never chooses a pool of weight 0 while another pool has weight', () => {
  fc.assert(
    fc.property(fc.double({ min: 0, max: 1, maxExcluded: true, noNaN: true }), (random) => {
      const shares = [
        { pool: 'closed', weight: 0 },
        { pool: 'open', weight: 2 },
        { pool: 'drained', weight: 0 },
      ];
      return choosePool(shares, random) === 'open';
    }),
  );
});

test('chooses the last pool when all weights are 0, and returns undefined without pools', () => {
  assert.equal(choosePool([{ pool: 'a', weight: 0 }], 0.3), 'a');
  assert.equal(choosePool([], 0.3), undefined);
});
