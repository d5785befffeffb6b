import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NEVER } from 'rxjs';
import { createManualClock } from '@bergamotcove/clock';
import BackendError from '../BackendError.js';
import createGuardedStore from './createGuardedStore.js';
import createLeaseHolder from './createLeaseHolder.js';
import type { StoreClient } from './types.js';

const LOST = new BackendError('outcome-unknown', 'lost');
const TTL_MS = 10_000;

const createStore = () => {
  const calls: string[] = [];
  const control = { failure: undefined as BackendError | undefined, remainingMs: TTL_MS };
  const answer = <Result>(name: string, result: Result): Promise<Result> => {
    calls.push(name);
    return control.failure === undefined ? Promise.resolve(result) : Promise.reject(control.failure);
  };
  const store: StoreClient = {
    get: () => answer('get', undefined),
    range: () => answer('range', { entries: [], revision: '1' }),
    txn: () => answer('txn', { succeeded: true, revision: '1', gets: [] }),
    watch: () => NEVER,
    grantLease: () => answer('grant', 'lease-1'),
    keepAlive: () => answer('renew', control.remainingMs),
    revokeLease: () => answer('revoke', undefined),
    close: () => undefined,
  };
  return { calls, control, store };
};

const flushPromises = async (): Promise<void> => {
  await new Promise(setImmediate);
};

/** Advances the clock in small steps, so that pending promises settle between timers. */
const advanceClock = async (clock: ReturnType<typeof createManualClock>, durationMs: number): Promise<void> => {
  await flushPromises();
  for (let passedMs = 0; passedMs < durationMs; passedMs += 50) {
    clock.advance(50);
    await flushPromises();
  }
};

test('a write that got no answer is not retried, because it may have taken effect', async () => {
  const { calls, control, store } = createStore();
  const guarded = createGuardedStore(store, { clock: createManualClock(), random: () => 0.5 });
  control.failure = LOST;
  await assert.rejects(guarded.txn([], []), { code: 'outcome-unknown' });
  assert.deepEqual(calls, ['txn']);
});

test('a failed read is retried, and retries together stay within a tenth of the calls', async () => {
  const { calls, control, store } = createStore();
  const clock = createManualClock();
  const guarded = createGuardedStore(store, { clock, random: () => 0.5 });
  const total = 400;
  for (let index = 0; index < total; index += 1) {
    // Every fifth read fails, so that the breaker stays closed and only the budget limits the retries.
    control.failure = index % 5 === 0 ? LOST : undefined;
    const read = guarded.get('key').catch(() => undefined);
    await advanceClock(clock, 100);
    await read;
  }
  const retries = calls.length - total;
  assert.ok(retries >= 10, `${retries} retries`);
  assert.ok(retries <= total * 0.1 + 10, `${retries} retries`);
});

test('an outage opens the breaker, few trial calls reach the store, and the breaker closes within 2 s after the outage', async () => {
  const { calls, control, store } = createStore();
  const clock = createManualClock();
  const guarded = createGuardedStore(store, { clock, random: () => 0.5 });
  control.failure = LOST;
  for (let index = 0; index < 600; index += 1) {
    const write = guarded.txn([], []).catch(() => undefined);
    await advanceClock(clock, 100);
    await write;
  }
  // The share of one of 410 hosts in 2,000 calls a second to the store, over 60 s.
  assert.ok(calls.length < (2_000 / 410) * 60, `${calls.length} calls in 60 s`);
  control.failure = undefined;
  await advanceClock(clock, 2_000);
  assert.equal((await guarded.txn([], [])).succeeded, true);
  assert.equal((await guarded.txn([], [])).succeeded, true);
});

test('a holder that was paused beyond the end of its lease treats it as lost before any of its timers runs', async () => {
  const { control, store } = createStore();
  const clock = createManualClock();
  const lost: string[] = [];
  let pausedMs = 0;
  const paused = { ...clock, monotonicMs: () => clock.monotonicMs() + pausedMs };
  const holder = createLeaseHolder(store, {
    clock: paused,
    random: () => 0.5,
    ttlMs: TTL_MS,
    onLost: (id) => lost.push(id),
  });
  holder.start();
  await flushPromises();
  assert.equal(holder.heldLeaseId(), 'lease-1');
  await advanceClock(clock, 60_000);
  assert.equal(holder.heldLeaseId(), 'lease-1', 'renewals keep the lease');
  control.failure = LOST;
  pausedMs = TTL_MS;
  assert.equal(holder.heldLeaseId(), undefined);
  assert.deepEqual(lost, []);
  await advanceClock(clock, 200);
  assert.deepEqual(lost, ['lease-1']);
  await holder.close();
});

test('a lease whose renewals get no answer is treated as lost before it expires in the store', async () => {
  const { control, store } = createStore();
  const clock = createManualClock();
  const lost: string[] = [];
  const onLost = (leaseId: string): number => lost.push(leaseId);
  const holder = createLeaseHolder(store, { clock, random: () => 0.5, ttlMs: TTL_MS, onLost });
  holder.start();
  await flushPromises();
  control.failure = LOST;
  await advanceClock(clock, TTL_MS * 0.7);
  assert.equal(holder.heldLeaseId(), 'lease-1');
  await advanceClock(clock, TTL_MS * 0.15);
  assert.equal(holder.heldLeaseId(), undefined);
  control.failure = undefined;
  control.remainingMs = 0;
  await advanceClock(clock, 3_000);
  assert.equal(holder.heldLeaseId(), 'lease-1', 'a new lease is granted after the outage');
  assert.equal(lost.length, 1);
  await advanceClock(clock, TTL_MS * 0.4);
  assert.equal(lost.length, 2, 'a renewal with no remaining time means that the lease has expired');
  await holder.close();
});
