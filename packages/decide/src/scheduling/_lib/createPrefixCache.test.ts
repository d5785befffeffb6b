import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import createPrefixCache from './createPrefixCache.js';

const createPart = (partId: string, tokens = 100) => ({ partId, tokens });

test('counts cached tokens only up to the first missing part', () => {
  const cache = createPrefixCache(10_000);
  cache.use([createPart('a'), createPart('b')]);
  assert.equal(cache.prefixTokens([createPart('a'), createPart('x'), createPart('b')]), 100);
  assert.equal(cache.prefixTokens([createPart('x'), createPart('a')]), 0);
  assert.equal(cache.prefixTokens([createPart('a', 40)]), 40);
});

test('evicts the least recently used parts first', () => {
  const cache = createPrefixCache(500);
  ['a', 'b', 'c', 'd'].forEach((partId) => cache.use([createPart(partId)]));
  cache.use([createPart('a')]);
  cache.use([createPart('e')]);
  assert.equal(cache.prefixTokens([createPart('a')]), 100);
  assert.equal(cache.prefixTokens([createPart('b')]), 0);
});

test('never holds more tokens than the capacity', () => {
  const part = fc.record({
    partId: fc.constantFrom('a', 'b', 'c', 'd', 'e'),
    tokens: fc.integer({ min: 1, max: 400 }),
  });
  fc.assert(
    fc.property(fc.array(part, { maxLength: 40 }), (parts) => {
      const cache = createPrefixCache(1_000);
      parts.forEach((one) => cache.use([one]));
      const held = ['a', 'b', 'c', 'd', 'e'].map((partId) => cache.prefixTokens([createPart(partId, 400)]));
      return held.reduce((sum, tokens) => sum + tokens, 0) <= 1_000;
    }),
  );
});
