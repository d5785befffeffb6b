import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createManualClock } from '@bergamotcove/clock';
import startIdleTimeout from './startIdleTimeout.js';

test('expires when the limit has passed since the last byte', () => {
  const clock = createManualClock();
  const timeout = startIdleTimeout({ clock, limitMs: 400, mayExpire: () => true });
  clock.advance(300);
  timeout.restart(1_000);
  clock.advance(900);
  assert.equal(timeout.expired, false);
  clock.advance(200);
  assert.equal(timeout.expired, true);
  assert.equal(timeout.signal.aborted, true);
});

test('does not expire when the retry budget is exhausted', () => {
  const clock = createManualClock();
  const timeout = startIdleTimeout({ clock, limitMs: 400, mayExpire: () => false });
  clock.advance(5_000);
  assert.equal(timeout.expired, false);
});

test('never expires for an attempt that must not be repeated', () => {
  const clock = createManualClock();
  const timeout = startIdleTimeout({ clock, limitMs: undefined, mayExpire: () => assert.fail('not asked') });
  timeout.restart(100);
  clock.advance(5_000);
  assert.equal(timeout.expired, false);
});

test('does not expire after it was closed', () => {
  const clock = createManualClock();
  const timeout = startIdleTimeout({ clock, limitMs: 400, mayExpire: () => assert.fail('not asked') });
  timeout.close();
  clock.advance(5_000);
  assert.equal(timeout.expired, false);
});
