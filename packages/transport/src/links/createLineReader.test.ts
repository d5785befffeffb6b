import assert from 'node:assert/strict';
import { test } from 'node:test';
import createLineReader, { MAX_LINE_BYTES } from './createLineReader.js';

const TEXT = 'first\n\nsecond ✓\nthird\n';
const LINES = ['first', 'second ✓', 'third'];
const MB = 1_048_576;

const collectLines = (): { readonly lines: string[]; readonly read: (chunk: Buffer) => void } => {
  const lines: string[] = [];
  return { lines, read: createLineReader((line) => lines.push(line)) };
};

test('lines are the same wherever the stream is split', () => {
  const bytes = Buffer.from(TEXT);
  for (let size = 1; size <= bytes.length; size += 1) {
    const { lines, read } = collectLines();
    for (let start = 0; start < bytes.length; start += size) {
      read(bytes.subarray(start, start + size));
    }
    assert.deepEqual(lines, LINES);
  }
});

test('a line in parts of the size of a packet is read up to the limit', () => {
  const part = Buffer.alloc(1_448, 'x');
  const { lines, read } = collectLines();
  const parts = Math.floor(MAX_LINE_BYTES / part.length);
  for (let nth = 0; nth < parts; nth += 1) {
    read(part);
  }
  read(Buffer.from('\n'));
  assert.deepEqual(
    lines.map(({ length }) => length),
    [parts * part.length],
  );
});

test('a line over the limit is refused', () => {
  const { read } = collectLines();
  const part = Buffer.alloc(MB, 'x');
  assert.throws(() => {
    for (let bytes = 0; bytes <= MAX_LINE_BYTES; bytes += part.length) {
      read(part);
    }
  }, /a line exceeds/);
});

test('a line that comes in one-byte chunks is refused before its chunks take up memory', () => {
  const { read } = collectLines();
  let chunks = 0;
  assert.throws(
    () => {
      for (; chunks < MB; chunks += 1) {
        read(Buffer.alloc(1, 'x'));
      }
    },
    { code: 'fragmented' },
  );
  assert.ok(chunks < 10_000, `${chunks} chunks were kept`);
});

test('many lines in one-byte chunks are read', () => {
  const { lines, read } = collectLines();
  for (let nth = 0; nth < 20_000; nth += 1) {
    [...'ab\n'].forEach((byte) => read(Buffer.from(byte)));
  }
  assert.equal(lines.length, 20_000);
});
