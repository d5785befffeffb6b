import assert from 'node:assert/strict';
import { test } from 'node:test';
import listPartKeys from './listPartKeys.js';

const listOf = (...partIds: readonly string[]): readonly string[] =>
  listPartKeys({
    promptTokens: 10,
    maxOutputTokens: 10,
    expectedOutputTokens: 10,
    parts: partIds.map((partId) => ({ partId, tokens: 1 })),
  });

test('the last part of a prompt, and a request without a generation, have no keys', () => {
  assert.deepEqual(listOf('5c1e', '91BD', '5c1e', 'e440'), ['part-5c1e', 'part-91bd']);
  assert.deepEqual(listOf('5c1e'), []);
  assert.deepEqual(listPartKeys(undefined), []);
});

test('the key of a part has a bounded length and alphabet, whatever its id is', () => {
  const [key = ''] = listOf('x/../y'.repeat(500), 'last');
  assert.match(key, /^part-[0-9a-f]{40}$/);
});
