import assert from 'node:assert/strict';
import { test } from 'node:test';
import limitSilenceMs from './limitSilenceMs.js';

test('returns a multiple of the expected time, but at least the minimum timeout', () => {
  assert.equal(limitSilenceMs(50), 1_500);
  assert.equal(limitSilenceMs(900), 3_600);
});
