import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import createSendLimiter from '../limits/createSendLimiter.js';
import computePaceRates from './computePaceRates.js';
import { OWNERS, PERMISSION_MS } from './constants.js';

const REQUESTS_PER_SECOND = fc.double({ min: 0.5, max: 60, noNaN: true });
const BOUND = fc.record({
  overage: fc.double({ min: 1, max: 3, noNaN: true }),
  slack: fc.integer({ min: 0, max: 20 }),
});

test('the rate leaves room for two hosts that hand out sends, and for sends that go out late', () => {
  const { cold, first } = computePaceRates(12, { overage: 1.5, slack: 5 });
  assert.deepEqual([cold, first], [7, 7]);
  // The bound of the requirement, without the time of a permission.
  assert.ok(1 + 0.25 * cold + cold <= 23 / 2);
});

test('a server that tolerates too little for that gets nothing until it is warm, and then as much as it tolerates', () => {
  assert.deepEqual(computePaceRates(1, undefined), { cold: 0, first: 1, last: 8 });
  assert.equal(computePaceRates(2, { overage: 1, slack: 0 }).cold, 0);
});

test('absurd rates and bounds never give a rate above the tolerated one', () => {
  [-1, 0, NaN, Infinity].forEach((rate) => assert.equal(computePaceRates(rate).cold, 0, String(rate)));
  assert.equal(computePaceRates(12, { overage: NaN, slack: -3 }).cold, 0);
  assert.equal(computePaceRates(12, { overage: 1e9, slack: 1e9 }).cold, 12);
});

/** Most of the times within any second. */
const countPeak = (times: readonly number[]): number =>
  Math.max(0, ...times.map((startMs) => times.filter((atMs) => atMs >= startMs && atMs < startMs + 1_000).length));

test('two hosts that both believe that they hand out the sends stay within the bound in each second', () => {
  const asks = fc.array(fc.tuple(fc.integer({ min: 0, max: OWNERS - 1 }), fc.integer({ min: 0, max: 60 })), {
    minLength: 50,
    maxLength: 300,
  });
  const delays = fc.infiniteStream(fc.integer({ min: 0, max: PERMISSION_MS }));
  fc.assert(
    fc.property(REQUESTS_PER_SECOND, BOUND, asks, delays, (requestsPerSecond, bound, steps, delay) => {
      const { cold } = computePaceRates(requestsPerSecond, bound);
      const owners = Array.from({ length: OWNERS }, createSendLimiter);
      if (cold > 0) {
        owners.forEach((owner) => owner.setLimit('s', cold, 0));
      }
      let nowMs = 0;
      const arrivals = steps.flatMap(([index, waitMs]) => {
        nowMs += waitMs;
        const need = { queue: 'p', key: `${nowMs}`, serverIds: ['s'] };
        const isGranted = cold > 0 && owners[index]?.take(need, nowMs).type === 'granted';
        return isGranted ? [nowMs + (delay.next().value ?? 0)] : [];
      });
      const allowed = requestsPerSecond * bound.overage + bound.slack;
      assert.ok(countPeak(arrivals) <= allowed, `${countPeak(arrivals)} of ${allowed}`);
    }),
  );
});
