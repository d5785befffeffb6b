import assert from 'node:assert/strict';
import { test } from 'node:test';
import createResultBook from './createResultBook.js';

const BOOKED = { serverId: 's1', resultBytes: 10, expiresAtMs: 1_000 };

test('gives each result back once', () => {
  const book = createResultBook();
  book.add('a', BOOKED, 0);
  assert.deepEqual(book.take('a'), BOOKED);
  assert.equal(book.take('a'), undefined);
});

test('gives up the spare results of one server only', () => {
  const book = createResultBook();
  book.add('a', BOOKED, 0);
  book.add('b', BOOKED, 0);
  book.add('c', { ...BOOKED, serverId: 's2' }, 0);
  assert.deepEqual(book.spare('a'), BOOKED);
  assert.equal(book.spare('a'), undefined);
  book.spare('c');
  assert.deepEqual([...book.takeSpare('s1').keys()], ['a']);
  assert.equal(book.take('a'), undefined);
  assert.deepEqual(book.take('b'), BOOKED);
});

test('a result that was taken is not spare any more', () => {
  const book = createResultBook();
  book.add('a', BOOKED, 0);
  book.spare('a');
  book.take('a');
  book.add('a', BOOKED, 0);
  assert.equal(book.takeSpare('s1').size, 0);
});

test('drops results that have expired at their servers', () => {
  const book = createResultBook();
  book.add('a', BOOKED, 0);
  book.spare('a');
  book.add('b', { ...BOOKED, expiresAtMs: 2_000 }, 1_000);
  assert.equal(book.take('a'), undefined);
  assert.equal(book.takeSpare('s1').size, 0);
  assert.notEqual(book.take('b'), undefined);
});
