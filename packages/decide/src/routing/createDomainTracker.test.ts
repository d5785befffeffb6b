import assert from 'node:assert/strict';
import { test } from 'node:test';
import createDomainTracker from './createDomainTracker.js';

const createSilentBook = (domain = 'b') => {
  const book = createDomainTracker('a');
  book.noteSilent(domain, { sinceMs: 0, nowMs: 100 });
  return book;
};

test('suspects a silent failure domain, so that a partition delays a request once and not at each stage', () => {
  assert.deepEqual([...createSilentBook().suspected(200)], ['b']);
});

test('does not suspect a failure domain with a silent server while another of its servers answers', () => {
  const book = createDomainTracker('a');
  book.noteHeard('b', 50);
  book.noteSilent('b', { sinceMs: 0, nowMs: 100 });
  assert.equal(book.suspected(100).size, 0);
});

test('never suspects the own failure domain, which would leave a partitioned host without servers', () => {
  assert.equal(createSilentBook('a').suspected(100).size, 0);
});

test('ends a suspicion at the first answer or after a growing period, so the end of a partition is noticed', () => {
  const book = createSilentBook();
  assert.equal(book.suspected(1_100).size, 0);
  book.noteSilent('b', { sinceMs: 1_200, nowMs: 1_300 });
  assert.equal(book.suspected(3_200).size, 1);
  book.noteHeard('b', 3_200);
  assert.equal(book.suspected(3_200).size, 0);
});
