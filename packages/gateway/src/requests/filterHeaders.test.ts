import assert from 'node:assert/strict';
import { test } from 'node:test';
import filterHeaders from './filterHeaders.js';

test('keeps order, spelling and repeated headers', () => {
  const raw = ['X-B', '1', 'x-a', '2', 'X-B', '3'];
  assert.deepEqual(filterHeaders(raw, new Set()), raw);
});

test('removes hop-by-hop headers, those that the Connection header names, and withheld ones', () => {
  const raw = [
    ...['Connection', 'close, X-Hop', 'X-Hop', '1', 'Keep-Alive', 'timeout=5', 'TE', 'trailers'],
    ...['Transfer-Encoding', 'chunked', 'Upgrade', 'h2c', 'X-Secret', 's', 'X-Kept', '1'],
  ];
  assert.deepEqual(filterHeaders(raw, new Set(['x-secret'])), ['X-Kept', '1']);
});
