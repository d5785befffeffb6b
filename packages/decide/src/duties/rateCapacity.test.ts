import assert from 'node:assert/strict';
import { test } from 'node:test';
import rateCapacity from './rateCapacity.js';

test('the capacity is limited by the processor and by the network link', () => {
  assert.equal(rateCapacity({ cores: 1.35, linkMbps: 1_000 }), 1.35);
  assert.equal(rateCapacity({ cores: 0.324, linkMbps: 20 }), 0.2);
});
