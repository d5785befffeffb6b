import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import advancePace, { readPaceRate, WARM } from './advancePace.js';
import computePaceRates from './computePaceRates.js';
import type { PaceEvent, PaceState } from './types.js';

const SPEC = { durationMs: 12_000, rates: computePaceRates(12, { overage: 1.5, slack: 5 }) };

const advance = (state: PaceState, event: PaceEvent, nowMs: number): PaceState =>
  advancePace(state, event, { spec: SPEC, nowMs });
const rateOf = (state: PaceState, nowMs: number): number | undefined => readPaceRate(state, SPEC.rates, nowMs);
const quick = (sentAtMs: number, count = 1): PaceEvent => ({ type: 'quick', count, sentAtMs });

test('a server has its cold rate for the time that it states, and then grows with quick answers until the limit ends', () => {
  let state = advance(WARM, { type: 'stated', coldMs: 8_000 }, 0);
  // Answers during the cold time, and to requests of that time, are no proof.
  state = advance(state, quick(7_000), 7_500);
  state = advance(state, quick(7_900), 8_100);
  assert.equal(rateOf(state, 8_100), 7);
  state = advance(state, quick(8_100), 8_200);
  assert.equal(rateOf(state, 8_200), 10.5);
  state = advance(state, quick(8_200, 6), 8_300);
  assert.equal(rateOf(state, 8_300), undefined);
});

test('a refusal or slow answer resets a growing rate at once, and says nothing of a server without a limit', () => {
  let state = advance(WARM, { type: 'suspected' }, 0);
  state = advance(state, quick(0, 4), 100);
  assert.ok((rateOf(state, 100) ?? 0) > 30);
  state = advance(state, { type: 'strained' }, 200);
  assert.equal(rateOf(state, 200), 7);
  // The answer to a request from before the reset.
  assert.equal(rateOf(advance(state, quick(150), 300), 300), 7);
  const ended = advance(state, quick(300, 10), 400);
  assert.equal(rateOf(advance(ended, { type: 'strained' }, 500), 500), undefined);
  assert.equal(rateOf(advance(WARM, { type: 'strained' }, 0), 0), undefined);
  assert.equal(rateOf(advance(ended, { type: 'suspected' }, 500), 500), 7);
});

test('a server without traffic has no limit some time after its cold time', () => {
  const state = advance(WARM, { type: 'assumed', coldMs: 12_000 }, 0);
  assert.equal(rateOf(state, 41_000), 7);
  assert.equal(rateOf(state, 42_000), undefined);
});

test('a statement of no cold time ends one that was stated, not one that is assumed', () => {
  const warm: PaceEvent = { type: 'stated', coldMs: 0 };
  const stated = advance(advance(WARM, { type: 'stated', coldMs: 8_000 }, 0), warm, 1_000);
  assert.equal(rateOf(advance(stated, quick(1_000), 1_100), 1_100), 10.5);
  const assumed = advance(advance(WARM, { type: 'assumed', coldMs: 8_000 }, 0), warm, 1_000);
  assert.equal(rateOf(advance(assumed, quick(1_000), 1_100), 1_100), 7);
});

test('a server that says for ever that it is cold counts as cold for a minute, and then grows', () => {
  let state = WARM;
  for (let nowMs = 0; nowMs <= 100_000; nowMs += 1_200) {
    state = advance(state, { type: 'stated', coldMs: 1e12 }, nowMs);
    state = advance(state, quick(nowMs), nowMs);
    assert.equal(rateOf(state, nowMs) === 7, nowMs < 60_000, `at ${nowMs}`);
  }
  assert.equal(rateOf(state, 100_000), undefined);
  const slow = { durationMs: 20_000, rates: SPEC.rates };
  const stated = advancePace(WARM, { type: 'stated', coldMs: 1e12 }, { spec: slow, nowMs: 0 });
  assert.equal(stated.statedUntilMs, 80_000);
});

test('negative cold times and times that are no numbers count as none', () => {
  [-1, -Infinity, NaN, 0].forEach((coldMs) =>
    assert.equal(rateOf(advance(WARM, { type: 'stated', coldMs }, 0), 0), undefined, String(coldMs)),
  );
});

test('whatever is observed, a server is never faster than its cold rate before its cold time has ended', () => {
  const event = fc.oneof(
    fc.record({ type: fc.constant('stated' as const), coldMs: fc.integer({ min: 1, max: 90_000 }) }),
    fc.record({ type: fc.constant('assumed' as const), coldMs: fc.integer({ min: 0, max: 90_000 }) }),
    fc.constantFrom({ type: 'suspected' as const }, { type: 'strained' as const }),
    fc.record({ type: fc.constant('quick' as const), count: fc.nat(20), sentAtMs: fc.nat(60_000) }),
  );
  fc.assert(
    fc.property(fc.array(fc.tuple(fc.nat(2_000), event), { maxLength: 40 }), (steps) => {
      let nowMs = 0;
      let state = advance(WARM, { type: 'assumed', coldMs: 60_000 }, 0);
      steps.forEach(([waitMs, each]) => {
        nowMs += waitMs;
        state = advance(state, each, nowMs);
        assert.ok(nowMs >= 60_000 || rateOf(state, nowMs) === 7);
      });
    }),
  );
});
