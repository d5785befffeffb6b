import assert from 'node:assert/strict';
import { test } from 'node:test';
import createDomainBook from './createDomainBook.js';

const createSilentBook = (domain = 'b') => {
  const book = createDomainBook('a');
  book.noteSilent(domain, { sinceMs: 0, nowMs: 100 });
  return book;
};

test('suspects a failure domain of which nothing was heard, so that a cut is paid for once and not at each stage', () => {
  assert.deepEqual([...createSilentBook().suspected(200)], ['b']);
});

test('does not suspect a failure domain with one slow server while another of its servers answers', () => {
  const book = createDomainBook('a');
  book.noteHeard('b', 50);
  book.noteSilent('b', { sinceMs: 0, nowMs: 100 });
  assert.equal(book.suspected(100).size, 0);
});

test('never suspects the own failure domain, which would leave a cut-off host without servers', () => {
  assert.equal(createSilentBook('a').suspected(100).size, 0);
});

test('ends a suspicion with the first answer, and else after a time that grows, so that a healed cut is noticed', () => {
  const book = createSilentBook();
  assert.equal(book.suspected(1_100).size, 0);
  book.noteSilent('b', { sinceMs: 1_200, nowMs: 1_300 });
  assert.equal(book.suspected(3_200).size, 1);
  book.noteHeard('b', 3_200);
  assert.equal(book.suspected(3_200).size, 0);
});
