import assert from 'node:assert/strict';
import { test } from 'node:test';
import acceptsWhileDraining from './acceptsWhileDraining.js';

const DRAIN = { startedAtMs: 1_000, endsAtMs: 8_500 };

test('accepts every request while the balancer still sends requests to the host', () => {
  assert.equal(acceptsWhileDraining(20_000, DRAIN, 1_001), true);
  assert.equal(acceptsWhileDraining(20_000, DRAIN, 3_500), true);
});

test('accepts later only requests whose deadlines are before the end of the drain', () => {
  assert.equal(acceptsWhileDraining(20_000, DRAIN, 4_500), false);
  assert.equal(acceptsWhileDraining(8_500, DRAIN, 7_000), true);
  assert.equal(acceptsWhileDraining(8_501, DRAIN, 7_000), false);
});
