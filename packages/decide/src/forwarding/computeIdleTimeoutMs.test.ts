import assert from 'node:assert/strict';
import { test } from 'node:test';
import computeIdleTimeoutMs from './computeIdleTimeoutMs.js';

test('returns a multiple of the expected time, but at least the minimum timeout', () => {
  assert.equal(computeIdleTimeoutMs(50), 1_500);
  assert.equal(computeIdleTimeoutMs(900), 3_600);
});
