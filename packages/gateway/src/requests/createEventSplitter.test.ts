import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import createEventSplitter, { MAX_EVENT_BYTES } from './createEventSplitter.js';

test('returns only complete events, with the first and the last id', () => {
  const splitter = createEventSplitter();
  assert.equal(splitter.push(Buffer.from('id: 4\nda'))?.bytes, undefined);
  const batch = splitter.push(Buffer.from('ta: x\n\nid: 5\ndata: y\n\nid: 6\n'));
  assert.equal(batch?.bytes?.toString(), 'id: 4\ndata: x\n\nid: 5\ndata: y\n\n');
  assert.deepEqual(batch?.events, [
    { id: '4', startBytes: 0 },
    { id: '5', startBytes: 15 },
  ]);
  assert.equal(splitter.rest().toString(), 'id: 6\n');
});

test('splits events whose lines end in CR LF', () => {
  const batch = createEventSplitter().push(Buffer.from('id: 1\r\ndata: x\r\n\r\nid: 2\r\n'));
  assert.equal(batch?.bytes?.toString(), 'id: 1\r\ndata: x\r\n\r\n');
  assert.deepEqual(batch?.events, [{ id: '1', startBytes: 0 }]);
});

test('neither loses nor repeats a byte, wherever the stream is cut into chunks', () => {
  const stream = Buffer.from([1, 2, 3, 4].map((id) => `id: ${id}\ndata: é${'x'.repeat(id)}\n\n`).join(''));
  fc.assert(
    fc.property(fc.array(fc.integer({ min: 0, max: stream.length }), { maxLength: 12 }), (cuts) => {
      const splitter = createEventSplitter();
      const bounds = [0, ...cuts.sort((a, b) => a - b), stream.length];
      const passed = bounds
        .slice(1)
        .flatMap((end, index) => splitter.push(stream.subarray(bounds[index], end))?.bytes ?? []);
      return Buffer.concat([...passed, splitter.rest()]).equals(stream);
    }),
  );
});

test('finds the end of an event when its blank line is split between chunks', () => {
  const splitter = createEventSplitter();
  const ends = ['data: x\r', '\n\r', '\n', 'data: y\n', '\n'].map((text) => splitter.push(Buffer.from(text))?.bytes);
  assert.deepEqual(
    ends.map((bytes) => bytes?.toString()),
    [undefined, undefined, 'data: x\r\n\r\n', undefined, 'data: y\n\n'],
  );
});

test('rejects an event without end once it exceeds the size limit, in linear time', () => {
  const splitter = createEventSplitter();
  const line = Buffer.from('data: x\n');
  let taken = 0;
  while (splitter.push(line) !== undefined) {
    taken += line.length;
  }
  assert.ok(taken <= MAX_EVENT_BYTES && taken > MAX_EVENT_BYTES - line.length);
});
