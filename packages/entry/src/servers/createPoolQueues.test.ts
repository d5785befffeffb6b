import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createManualClock } from '@bergamotcove/clock';
import createPoolQueues, { type WaitingAttempt } from './createPoolQueues.js';

const makeAttempt = (rank: number, change: Partial<WaitingAttempt> = {}): WaitingAttempt => ({
  pool: 'engines',
  long: false,
  rank,
  tryStart: () => false,
  ...change,
});

test('long work that waits for a server does not block short work', () => {
  const queues = createPoolQueues(createManualClock());
  const started: string[] = [];
  const start = (name: string) => () => started.push(name) > 0;
  queues.enqueue(makeAttempt(0, { long: true }));
  queues.enqueue(makeAttempt(5, { tryStart: start('short') }));
  assert.deepEqual(started, ['short']);
  queues.close();
});

test('waiting attempts start in order of rank when a server becomes free without a message to the host', () => {
  const clock = createManualClock();
  const queues = createPoolQueues(clock);
  const started: number[] = [];
  let free = false;
  const add = (rank: number): void =>
    queues.enqueue(makeAttempt(rank, { tryStart: () => free && started.push(rank) > 0 }));
  [30, 10, 20].forEach(add);
  assert.equal(queues.countShortWaiting(), 3);
  free = true;
  clock.advance(20);
  assert.deepEqual(started, [10, 20, 30]);
  queues.close();
});

test('an attempt that was given up is not started', () => {
  const clock = createManualClock();
  const queues = createPoolQueues(clock);
  let tries = 0;
  const attempt = makeAttempt(1, {
    tryStart: () => {
      tries += 1;
      return false;
    },
  });
  queues.enqueue(attempt);
  queues.remove(attempt);
  clock.advance(100);
  assert.equal(tries, 1);
  queues.close();
});

// Guards against requests of one region that wait for its servers while those of another one are free.
test('an attempt that waits blocks only its group; all groups start in the order of their ranks', () => {
  const clock = createManualClock();
  const queues = createPoolQueues(clock);
  const started: string[] = [];
  let free: readonly string[] = [];
  const add = (rank: number, group: string): void => {
    const tryStart = (): boolean => free.includes(group) && started.push(`${group}${rank}`) > 0;
    queues.enqueue(makeAttempt(rank, { group, tryStart }));
  };
  add(10, 'a');
  add(20, 'b');
  add(30, 'a');
  add(40, 'b');
  free = ['b'];
  queues.drain('engines');
  assert.deepEqual(started, ['b20', 'b40']);
  assert.deepEqual([queues.countWaiting('engines'), queues.countShortWaiting()], [2, 2]);
  free = [];
  add(20, 'b');
  free = ['a', 'b'];
  clock.advance(20);
  assert.deepEqual(started.slice(2), ['a10', 'b20', 'a30']);
  queues.close();
});
