import assert from 'node:assert/strict';
import { test } from 'node:test';
import createPrefixEvidence, { type PrefixEvidence } from './createPrefixEvidence.js';

const addSamples = (evidence: PrefixEvidence, homeMs: number, otherMs: number, nowMs: number): void => {
  for (let count = 0; count < 100; count += 1) {
    evidence.note('explain', 'home', homeMs, nowMs);
    evidence.note('explain', 'other', otherMs, nowMs);
  }
};

test('affinity ends for an operation without a shared prefix, so that its load spreads evenly over the servers', () => {
  const evidence = createPrefixEvidence();
  assert.equal(evidence.isUseful('explain', 0), true);
  addSamples(evidence, 300, 310, 0);
  assert.equal(evidence.isUseful('explain', 1_000), false);
  assert.equal(evidence.isUseful('draft', 1_000), true);
});

test('affinity stays on where home servers are faster, and a new trial begins later where they were not', () => {
  const evidence = createPrefixEvidence();
  addSamples(evidence, 200, 1_000, 0);
  assert.equal(evidence.isUseful('explain', 1_000), true);
  const stale = createPrefixEvidence();
  addSamples(stale, 300, 300, 0);
  assert.equal(stale.isUseful('explain', 3_600_000), true);
});
