import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { packMessage, unpackMessage } from './packMessage.js';

test('unpacks a message of any length to the original', () => {
  fc.assert(
    fc.property(fc.string(), fc.integer({ min: 1, max: 2_000 }), (text, times) => {
      const message = { text: text.repeat(times) };
      assert.deepEqual(unpackMessage(packMessage(message)), message);
    }),
    { seed: 1 },
  );
});

test('packs a route table into less than a quarter of its size', () => {
  const routes = Array.from({ length: 500 }, (_, index) => ({
    name: `route-${index}`,
    prefix: `/path${index}/`,
    timeoutMs: 2_000,
  }));
  const size = JSON.stringify(packMessage({ routes })).length;
  assert.ok(size < JSON.stringify({ routes }).length / 4, `${size} characters`);
});

test('throws for invalid messages', () => {
  assert.throws(() => unpackMessage({ type: 'gzip', base64: 'AAAA' }));
  assert.throws(() => unpackMessage({ type: 'plain', text: '{' }));
});
