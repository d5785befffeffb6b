import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import createValueSums from './createValueSums.js';

test('sums all amounts of at least a value and none more than a tenth below it', () => {
  const amounts = fc.array(
    fc.record({ value: fc.double({ min: 1e-5, max: 10, noNaN: true }), amount: fc.integer({ min: 1, max: 9 }) }),
  );
  fc.assert(
    fc.property(amounts, fc.double({ min: 1e-5, max: 10, noNaN: true }), (added, least) => {
      const sums = createValueSums();
      added.forEach(({ value, amount }) => sums.add(value, amount));
      const sumFrom = (from: number): number =>
        added.filter(({ value }) => value >= from).reduce((sum, { amount }) => sum + amount, 0);
      const read = sums.atLeast(least);
      return read >= sumFrom(least) && read <= sumFrom((least / 1.1) * (1 - 1e-9));
    }),
  );
});

test('is empty after all amounts are removed', () => {
  const sums = createValueSums();
  sums.add(0.5, 3);
  sums.add(2, 1);
  assert.equal(sums.atLeast(0), 4);
  sums.add(0.5, -3);
  assert.equal(sums.atLeast(0), 1);
  sums.add(2, -1);
  assert.equal(sums.isEmpty, true);
});
