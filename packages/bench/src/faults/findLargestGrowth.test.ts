import assert from 'node:assert/strict';
import { test } from 'node:test';
import findLargestGrowth from './findLargestGrowth.js';

test('counts only the growth within the window: short run delays spread over a long run do not add up', () => {
  const spread = Array.from({ length: 100 }, (_, index) => ({ atMs: index * 100, value: index * 10 }));
  assert.equal(findLargestGrowth(spread, 2_000), 200);
  assert.equal(findLargestGrowth([...spread, { atMs: 10_000, value: 1_500 }], 2_000), 700);
  assert.equal(findLargestGrowth([], 2_000), 0);
});
