import assert from 'node:assert/strict';
import { test } from 'node:test';
import decideHedge from './decideHedge.js';

const norm = { poolMsPerToken: 10, paceQuantile: 1.4 };
const slow = { elapsedMs: 500, paceMs: 50, remainingTokens: 40, repeatTokens: 30 };

test('hedges a slow attempt, but not one of normal pace', () => {
  assert.equal(decideHedge(slow, norm), true);
  assert.equal(decideHedge({ ...slow, paceMs: 15 }, norm), false);
});

test('does not hedge an attempt that is almost done, because the repeated work would take longer than the rest', () => {
  assert.equal(decideHedge({ ...slow, remainingTokens: 4 }, norm), false);
});

test('does not hedge an attempt whose pace is below the learnt quantile', () => {
  assert.equal(decideHedge(slow, { ...norm, paceQuantile: 6 }), false);
});
