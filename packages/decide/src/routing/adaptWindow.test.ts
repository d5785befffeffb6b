import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import adaptWindow from './adaptWindow.js';

const HOSTS = 9;

test('hosts that apply the same report take at most twice the free slots and one attempt each', () => {
  const report = { running: 8, queued: 0, tokensPerSecond: 800, reportedAtMs: 0 };
  const extra = adaptWindow(report, { ownAtReport: 0, slots: 16, hosts: HOSTS });
  assert.ok(extra * HOSTS <= 2 * (16 - 8) + HOSTS);
});

test('a long queue at the server shrinks the window of each host', () => {
  const report = { running: 16, queued: 18, tokensPerSecond: 1_600, reportedAtMs: 0 };
  assert.ok(adaptWindow(report, { ownAtReport: 4, slots: 16, hosts: HOSTS }) < 4);
});

test('the window never falls below one attempt, because reports are older than short attempts', () => {
  const report = { running: 16, queued: 200, tokensPerSecond: 1_600, reportedAtMs: 0 };
  assert.equal(adaptWindow(report, { ownAtReport: 1, slots: 16, hosts: HOSTS }), 1);
});

test('for any report without a queue, hosts together take at most twice the free slots and one attempt each', () => {
  const ranges = fc.record({
    running: fc.nat(16),
    slots: fc.integer({ min: 1, max: 16 }),
    hosts: fc.integer({ min: 1, max: 40 }),
  });
  fc.assert(
    fc.property(ranges, ({ running, slots, hosts }) => {
      const report = { running, queued: 0, tokensPerSecond: 800, reportedAtMs: 0 };
      const extra = adaptWindow(report, { ownAtReport: 0, slots, hosts });
      assert.ok(extra * hosts <= 2 * Math.max(0, slots - running) + hosts + 1e-9);
    }),
  );
});
