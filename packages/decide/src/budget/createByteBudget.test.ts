import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import createByteBudget from './createByteBudget.js';

const LIMIT = 10_000;
const WINDOW_MS = 1_000;

const sends = fc.array(
  fc.record({
    gapMs: fc.integer({ min: 0, max: 400 }),
    requestBytes: fc.integer({ min: 1, max: 4_000 }),
    replyBytes: fc.integer({ min: 1, max: 2_000 }),
  }),
  { maxLength: 80 },
);

test('the bytes in any window of 1 s stay within the budget, so that the link is not overloaded', () => {
  fc.assert(
    fc.property(sends, (items) => {
      const budget = createByteBudget(LIMIT);
      let nowMs = 0;
      const taken = items.flatMap((item) => {
        nowMs += item.gapMs;
        return budget.take(item, nowMs) ? [{ ...item, atMs: nowMs }] : [];
      });
      taken.forEach(({ atMs }) => {
        const window = taken.filter((other) => other.atMs > atMs - WINDOW_MS && other.atMs <= atMs);
        assert.ok(window.reduce((sum, other) => sum + other.requestBytes + other.replyBytes, 0) <= LIMIT);
      });
    }),
  );
});
