import assert from 'node:assert/strict';
import { test } from 'node:test';
import createDomainTracker from './createDomainTracker.js';

const createSilentTracker = (domain = 'b') => {
  const tracker = createDomainTracker('a');
  tracker.noteSilent(domain, { sinceMs: 0, nowMs: 100 });
  return tracker;
};

test('suspects a silent failure domain, so that a partition delays a request once and not at each stage', () => {
  assert.deepEqual([...createSilentTracker().suspected(200)], ['b']);
});

test('does not suspect a failure domain with a silent server while another of its servers answers', () => {
  const tracker = createDomainTracker('a');
  tracker.noteHeard('b', 50);
  tracker.noteSilent('b', { sinceMs: 0, nowMs: 100 });
  assert.equal(tracker.suspected(100).size, 0);
});

test('never suspects the own failure domain, which would leave a partitioned host without servers', () => {
  assert.equal(createSilentTracker('a').suspected(100).size, 0);
});

test('ends a suspicion at the first answer or after a growing period, so the end of a partition is noticed', () => {
  const tracker = createSilentTracker();
  assert.equal(tracker.suspected(1_100).size, 0);
  tracker.noteSilent('b', { sinceMs: 1_200, nowMs: 1_300 });
  assert.equal(tracker.suspected(3_200).size, 1);
  tracker.noteHeard('b', 3_200);
  assert.equal(tracker.suspected(3_200).size, 0);
});
