import assert from 'node:assert/strict';
import { test } from 'node:test';
import findContinuers from './findContinuers.js';

const V1 = { pool: 'lm', softwareVersion: 'v1' };
const V2 = { pool: 'lm', softwareVersion: 'v2' };
const UNNAMED = { pool: 'lm' };

test('only servers of the same version go on with a stream', () => {
  assert.deepEqual(findContinuers([V1, V2, UNNAMED], V1), [V1]);
  assert.deepEqual(findContinuers([V2, UNNAMED], V1), []);
});

test('servers of another pool never go on with a stream, even when they use the same words', () => {
  assert.deepEqual(findContinuers([{ ...V1, pool: 'other' }], V1), []);
});

test('servers without a version go on only where no server names one', () => {
  const unnamed = { pool: 'lm', softwareVersion: '' };
  assert.deepEqual(findContinuers([UNNAMED, unnamed], unnamed), [UNNAMED, unnamed]);
  assert.deepEqual(findContinuers([UNNAMED, V1], unnamed), []);
});
