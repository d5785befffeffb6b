import assert from 'node:assert/strict';
import { test } from 'node:test';
import createManualClock from './createManualClock.js';

test('runs timers in order of due time and no closed ones, so that runs in virtual time are repeatable', () => {
  const clock = createManualClock(1_000);
  const seen: string[] = [];
  clock.schedule(20, () => seen.push('second'));
  clock.schedule(10, () => {
    seen.push('first');
    clock.schedule(5, () => seen.push('nested'));
  });
  const closed = clock.schedule(15, () => seen.push('closed'));
  closed.close();
  clock.advance(30);
  assert.deepEqual(seen, ['first', 'nested', 'second']);
  assert.equal(clock.wallMs(), 1_030);
});

test('a step of the wall clock does not change monotonic time, so that time corrections do not move deadlines', () => {
  const clock = createManualClock();
  clock.advance(5);
  clock.stepWall(-60_000);
  assert.equal(clock.monotonicMs(), 5);
  assert.equal(clock.wallMs(), -59_995);
});
