import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import createWindowBudget from './createWindowBudget.js';

const SPEC = { ratio: 0.2, slack: 3, windowMs: 10_000 };

test('the extra sends in any window stay within the limit of its requests and the slack', () => {
  const steps = fc.array(
    fc.record({ waitMs: fc.integer({ min: 0, max: 900 }), type: fc.constantFrom('request', 'extra') }),
    { maxLength: 400 },
  );
  fc.assert(
    fc.property(steps, (events) => {
      const budget = createWindowBudget(SPEC.windowMs);
      const requests: number[] = [];
      const extras: number[] = [];
      let nowMs = 0;
      events.forEach(({ waitMs, type }) => {
        nowMs += waitMs;
        if (type === 'request') {
          requests.push(nowMs);
          budget.noteRequest(nowMs);
        } else if (budget.spend(1, SPEC, nowMs)) {
          extras.push(nowMs);
        }
      });
      extras.forEach((endMs) => {
        const inside = (ms: number): boolean => ms > endMs - SPEC.windowMs && ms <= endMs;
        const allowed = requests.filter(inside).length * SPEC.ratio + SPEC.slack;
        assert.ok(extras.filter(inside).length <= allowed);
      });
    }),
  );
});

test('the slack is available again after a window', () => {
  const budget = createWindowBudget(SPEC.windowMs);
  assert.equal(budget.spend(3, SPEC, 0), true);
  assert.equal(budget.spend(1, SPEC, 9_000), false);
  assert.equal(budget.spend(3, SPEC, 11_000), true);
});
