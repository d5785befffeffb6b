import assert from 'node:assert/strict';
import { test } from 'node:test';
import createAnswerMemory from './createAnswerMemory.js';

const MIB = 1_048_576;

test('large answers share the budget, and small ones are accepted when it is used up', () => {
  const memory = createAnswerMemory();
  const large = Array.from({ length: 9 }, () => memory.open());
  assert.deepEqual(
    large.map((share) => share.reserve(4 * MIB)),
    [true, true, true, true, true, true, true, true, false],
  );
  assert.equal(memory.open().reserve(1_000), true);
});

test('closing an answer frees its memory once', () => {
  const memory = createAnswerMemory();
  const first = memory.open();
  first.reserve(32 * MIB);
  assert.equal(memory.open().reserve(MIB), false);
  first.close();
  first.close();
  const next = memory.open();
  assert.deepEqual([next.reserve(MIB), next.sizeBytes], [true, MIB]);
});
