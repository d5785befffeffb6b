import assert from 'node:assert/strict';
import { test } from 'node:test';
import correctLength from './correctLength.js';
import createLengthEstimator from './createLengthEstimator.js';
import createLatencyQuantiles from './createLatencyQuantiles.js';
import shareDeadline from './shareDeadline.js';

test('a length estimate that is too low is corrected as tokens arrive', () => {
  let estimate = 64;
  for (let arrived = 0; arrived < 1_920; arrived += 10) {
    estimate = correctLength(estimate, arrived);
  }
  assert.ok(estimate >= 1_920);
  assert.equal(correctLength(64, 10), 64);
});

test('lengths are learnt for each organisation separately', () => {
  const lengths = createLengthEstimator();
  const facts = { operation: 'draft', inputTokens: 300, expectedOutputTokens: 64 };
  for (let count = 0; count < 50; count += 1) {
    lengths.learn({ ...facts, organisation: 'wordy' }, 400);
    lengths.learn({ ...facts, organisation: 'terse' }, 40);
  }
  assert.ok(lengths.estimate({ ...facts, organisation: 'wordy' }) > 300);
  assert.ok(lengths.estimate({ ...facts, organisation: 'terse' }) < 80);
});

test('quantiles follow a change of the load and drop old values', () => {
  const quantiles = createLatencyQuantiles();
  const record = (valueMs: number, fromMs: number): void => {
    for (let count = 0; count < 200; count += 1) {
      quantiles.record('stage', valueMs, fromMs + count * 100);
    }
  };
  record(100, 0);
  record(500, 20_000);
  record(500, 40_000);
  assert.ok((quantiles.quantile('stage', 0.5) ?? 0) >= 490);
  assert.equal(quantiles.quantile('other', 0.5), undefined);
});

test('a burst of equal values does not overflow a counter, which would falsify the quantile', () => {
  const quantiles = createLatencyQuantiles();
  for (let count = 0; count < 70_000; count += 1) {
    quantiles.record('stage', 100, 0);
  }
  for (let count = 0; count < 40; count += 1) {
    quantiles.record('stage', 900, 1);
  }
  const median = quantiles.quantile('stage', 0.5) ?? 0;
  assert.ok(median >= 90 && median < 110, `median ${median}`);
});

test('a stage that finishes early leaves its slack to the later stages', () => {
  assert.equal(shareDeadline(1_000, [100, 400]), 200);
  assert.equal(shareDeadline(950, [400]), 950);
});
