import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createManualClock } from '@bergamotcove/clock';
import watchSilence from './watchSilence.js';

test('gives an attempt up when nothing came in time, from the last byte on', () => {
  const clock = createManualClock();
  const watch = watchSilence({ clock, limitMs: 400, mayGiveUp: () => true });
  clock.advance(300);
  watch.heard(1_000);
  clock.advance(900);
  assert.equal(watch.broke, false);
  clock.advance(200);
  assert.equal(watch.broke, true);
  assert.equal(watch.signal.aborted, true);
});

test('without room for a repetition the server keeps its time', () => {
  const clock = createManualClock();
  const watch = watchSilence({ clock, limitMs: 400, mayGiveUp: () => false });
  clock.advance(5_000);
  assert.equal(watch.broke, false);
});

test('an attempt that must not be repeated is not watched', () => {
  const clock = createManualClock();
  const watch = watchSilence({ clock, limitMs: undefined, mayGiveUp: () => assert.fail('not asked') });
  watch.heard(100);
  clock.advance(5_000);
  assert.equal(watch.broke, false);
});

test('an attempt that has ended is not given up any more', () => {
  const clock = createManualClock();
  const watch = watchSilence({ clock, limitMs: 400, mayGiveUp: () => assert.fail('not asked') });
  watch.close();
  clock.advance(5_000);
  assert.equal(watch.broke, false);
});
