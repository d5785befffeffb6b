import assert from 'node:assert/strict';
import { test } from 'node:test';
import limitSilenceMs from './limitSilenceMs.js';

test('waits several times as long as expected, and gives no engine up at once', () => {
  assert.equal(limitSilenceMs(50), 1_500);
  assert.equal(limitSilenceMs(900), 3_600);
});
