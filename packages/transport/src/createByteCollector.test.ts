import assert from 'node:assert/strict';
import { test } from 'node:test';
import createByteCollector from './createByteCollector.js';

test('collects chunks of any size in order', () => {
  const collector = createByteCollector();
  ['a', '', 'bc', 'd'.repeat(5_000)].forEach((text) => collector.push(Buffer.from(text)));
  assert.equal(collector.read().toString(), `abc${'d'.repeat(5_000)}`);
  collector.clear();
  assert.equal(collector.read().length, 0);
});

test('holds at most about twice the collected bytes, however small the chunks are', () => {
  const collector = createByteCollector();
  const slab = Buffer.alloc(65_536);
  for (let offset = 0; offset < 100_000; offset += 1) {
    collector.push(slab.subarray(offset % slab.length, (offset % slab.length) + 1));
  }
  assert.equal(collector.sizeBytes, 100_000);
  assert.ok(collector.heldBytes <= 200_000, `${collector.heldBytes} bytes are held`);
});

test('many tiny chunks count as fragmented, a few thousand or ordinary ones do not', () => {
  const few = createByteCollector();
  Array.from({ length: 4_000 }).forEach(() => few.push(Buffer.from('x')));
  assert.equal(few.isFragmented, false);
  const ordinary = createByteCollector();
  Array.from({ length: 20_000 }).forEach(() => ordinary.push(Buffer.alloc(100)));
  assert.equal(ordinary.isFragmented, false);
  const tiny = createByteCollector();
  Array.from({ length: 4_300 }).forEach(() => tiny.push(Buffer.from('x')));
  assert.equal(tiny.isFragmented, true);
});
