import assert from 'node:assert/strict';
import { test } from 'node:test';
import planConnections from './planConnections.js';

const MB = 1_048_576;

// Guards against listeners that leave no descriptors for files and for connections to servers.
test('the listeners of every host of the fleet leave descriptors for files and servers', () => {
  [2_069, 4_096, 8_192].forEach((maxDescriptors) => {
    [202, 602].forEach((memoryMb) => {
      const { callers, health } = planConnections({ memoryBytes: memoryMb * MB, maxDescriptors });
      const left = maxDescriptors - callers.maxConnections - health.maxConnections;
      assert.ok(left >= 200 + callers.maxConnections / 2, `${left} of ${maxDescriptors}`);
      assert.ok(callers.maxConnections >= 1_000);
      assert.ok(callers.maxHeldBytes <= memoryMb * MB * 0.15);
    });
  });
});

test('a host with few descriptors still accepts callers', () => {
  assert.equal(planConnections({ memoryBytes: 202 * MB, maxDescriptors: 100 }).callers.maxConnections, 16);
});
