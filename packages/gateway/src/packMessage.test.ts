import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { packMessage, unpackMessage } from './packMessage.js';

test('messages of any length arrive as they were sent', () => {
  fc.assert(
    fc.property(fc.string(), fc.integer({ min: 1, max: 2_000 }), (text, times) => {
      const message = { text: text.repeat(times) };
      assert.deepEqual(unpackMessage(packMessage(message)), message);
    }),
    { seed: 1 },
  );
});

test('a route table is sent in a fraction of its size', () => {
  const routes = Array.from({ length: 500 }, (_, index) => ({
    name: `route-${index}`,
    prefix: `/path${index}/`,
    timeoutMs: 2_000,
  }));
  const size = JSON.stringify(packMessage({ routes })).length;
  assert.ok(size < JSON.stringify({ routes }).length / 4, `${size} characters`);
});

test('what cannot be read is refused', () => {
  assert.throws(() => unpackMessage({ type: 'gzip', base64: 'AAAA' }));
  assert.throws(() => unpackMessage({ type: 'plain', text: '{' }));
});
