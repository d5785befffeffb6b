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
