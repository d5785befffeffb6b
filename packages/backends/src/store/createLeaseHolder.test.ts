import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NEVER } from 'rxjs';
import { createManualClock } from '@bergamotcove/clock';
import createEraTracker from './createEraTracker.js';
import createLeaseHolder from './createLeaseHolder.js';
import type { StoreClient, StoreEntry, StoreOp } from './types.js';

const KEY = { key: 'hosts/h1/7', value: 'h1' };

const createWorld = (existing?: StoreEntry) => {
  const calls: string[] = [];
  const written: StoreOp[] = [];
  const store: StoreClient = {
    get: async () => {
      calls.push('get');
      return existing;
    },
    range: () => Promise.reject(new Error('not used')),
    txn: async (_, success) => {
      calls.push('txn');
      written.push(...success);
      return { succeeded: existing === undefined, revision: '5', gets: [] };
    },
    watch: () => NEVER,
    grantLease: async () => {
      calls.push('grant');
      return 'lease';
    },
    keepAlive: async () => 4_000,
    revokeLease: async () => {
      calls.push('revoke');
    },
    close: () => undefined,
  };
  const options = { clock: createManualClock(), random: () => 0.5, ttlMs: 4_000 };
  return { calls, written, store, options };
};

test('looks at a key that others may hold before it takes it', async () => {
  const { calls, store, options } = createWorld();
  const holder = createLeaseHolder(store, { ...options, key: KEY });
  await holder.renew();
  assert.deepEqual(calls, ['get', 'grant', 'txn']);
  assert.equal(holder.fencingNumber(), 5);
});

test('takes an exclusive key at once, and writes nothing but the key', async () => {
  const { calls, written, store, options } = createWorld();
  const holder = createLeaseHolder(store, { ...options, key: { ...KEY, exclusive: true } });
  await holder.renew();
  assert.deepEqual(calls, ['grant', 'txn']);
  assert.deepEqual(written, [{ type: 'put', ...KEY, leaseId: 'lease' }]);
});

test('does not hold an exclusive key that exists after all', async () => {
  const existing = { ...KEY, createRevision: '3', modRevision: '3' };
  const { calls, store, options } = createWorld(existing);
  const holder = createLeaseHolder(store, { ...options, key: { ...KEY, exclusive: true } });
  await holder.renew();
  assert.equal(holder.isHeld(), false);
  assert.deepEqual(calls, ['grant', 'txn', 'revoke']);
});

test('forgets its lease when the store came back from an older copy, and takes a new one without ending the old', async () => {
  const existing = { ...KEY, createRevision: '3', modRevision: '3' };
  const { calls, written, store, options } = createWorld();
  const eras = createEraTracker();
  eras.read('1');
  const holder = createLeaseHolder(store, { ...options, eras, key: { ...KEY, exclusive: true } });
  await holder.renew();
  calls.length = 0;
  written.length = 0;
  eras.read('2');
  assert.equal(holder.isHeld(), false);
  store.txn = async (compares, success) => {
    written.push(...success);
    // The copy has the key.
    return { succeeded: compares.length === 0 || existing === undefined, revision: '5', gets: [] };
  };
  await holder.renew();
  assert.ok(holder.isHeld());
  assert.deepEqual([calls, written], [['grant'], [{ type: 'put', ...KEY, leaseId: 'lease' }]]);
});

test("gives an exclusive key back by its name, because its lease may be another holder's unnoticed", async () => {
  const { calls, written, store, options } = createWorld();
  const holder = createLeaseHolder(store, { ...options, key: { ...KEY, exclusive: true } });
  await holder.renew();
  await holder.close();
  assert.deepEqual([calls, written.at(-1)], [['grant', 'txn', 'txn'], { type: 'delete', key: KEY.key }]);
});
