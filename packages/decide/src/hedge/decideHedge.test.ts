import assert from 'node:assert/strict';
import { test } from 'node:test';
import decideHedge from './decideHedge.js';

const norm = { poolMsPerToken: 10, paceQuantile: 1.4 };
const slow = { elapsedMs: 500, paceMs: 50, remainingTokens: 40, repeatTokens: 30 };

test('a slow attempt is hedged, one of ordinary pace is not', () => {
  assert.equal(decideHedge(slow, norm), true);
  assert.equal(decideHedge({ ...slow, paceMs: 15 }, norm), false);
});

test('an attempt that is nearly done is left alone, because a hedge would repeat more than it wins', () => {
  assert.equal(decideHedge({ ...slow, remainingTokens: 4 }, norm), false);
});

test('a pace below the learnt quantile is normal for the pool', () => {
  assert.equal(decideHedge(slow, { ...norm, paceQuantile: 6 }), false);
});
