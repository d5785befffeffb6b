import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createManualClock } from '@bergamotcove/clock';
import startIdleTimeout from './startIdleTimeout.js';

test('gives an attempt up when nothing came in time, from the last byte on', () => {
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

test('without room for a repetition the server keeps its time', () => {
  const clock = createManualClock();
  const timeout = startIdleTimeout({ clock, limitMs: 400, mayExpire: () => false });
  clock.advance(5_000);
  assert.equal(timeout.expired, false);
});

test('an attempt that must not be repeated is not watched', () => {
  const clock = createManualClock();
  const timeout = startIdleTimeout({ clock, limitMs: undefined, mayExpire: () => assert.fail('not asked') });
  timeout.restart(100);
  clock.advance(5_000);
  assert.equal(timeout.expired, false);
});

test('an attempt that has ended is not given up any more', () => {
  const clock = createManualClock();
  const timeout = startIdleTimeout({ clock, limitMs: 400, mayExpire: () => assert.fail('not asked') });
  timeout.close();
  clock.advance(5_000);
  assert.equal(timeout.expired, false);
});
