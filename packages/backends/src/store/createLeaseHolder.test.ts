import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NEVER } from 'rxjs';
import { createManualClock } from '@bergamotcove/clock';
import createEraTracker from './createEraTracker.js';
import createLeaseHolder from './createLeaseHolder.js';
import type { StoreClient, StoreEntry, StoreOp } from './types.js';

const KEY = { key: 'hosts/h1/7', value: 'h1' };

const createFixture = (existing?: StoreEntry) => {
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

test('reads a key that other holders may have before it creates the key', async () => {
  const { calls, store, options } = createFixture();
  const holder = createLeaseHolder(store, { ...options, key: KEY });
  await holder.renew();
  assert.deepEqual(calls, ['get', 'grant', 'txn']);
  assert.equal(holder.fencingNumber(), 5);
});

test('creates an exclusive key without reading it first, and writes nothing but the key', async () => {
  const { calls, written, store, options } = createFixture();
  const holder = createLeaseHolder(store, { ...options, key: { ...KEY, exclusive: true } });
  await holder.renew();
  assert.deepEqual(calls, ['grant', 'txn']);
  assert.deepEqual(written, [{ type: 'put', ...KEY, leaseId: 'lease' }]);
});

test('does not hold the lease when its exclusive key exists unexpectedly, and revokes the lease', async () => {
  const existing = { ...KEY, createRevision: '3', modRevision: '3' };
  const { calls, store, options } = createFixture(existing);
  const holder = createLeaseHolder(store, { ...options, key: { ...KEY, exclusive: true } });
  await holder.renew();
  assert.equal(holder.isHeld(), false);
  assert.deepEqual(calls, ['grant', 'txn', 'revoke']);
});

test('drops its lease when the store was restored from an older copy, and acquires a new one without revoking the old', async () => {
  const existing = { ...KEY, createRevision: '3', modRevision: '3' };
  const { calls, written, store, options } = createFixture();
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
    // The restored copy contains the key.
    return { succeeded: compares.length === 0 || existing === undefined, revision: '5', gets: [] };
  };
  await holder.renew();
  assert.ok(holder.isHeld());
  assert.deepEqual([calls, written], [['grant'], [{ type: 'put', ...KEY, leaseId: 'lease' }]]);
});

test('deletes an exclusive key by name on release, because the id of its lease may belong to another holder', async () => {
  const { calls, written, store, options } = createFixture();
  const holder = createLeaseHolder(store, { ...options, key: { ...KEY, exclusive: true } });
  await holder.renew();
  await holder.close();
  assert.deepEqual([calls, written.at(-1)], [['grant', 'txn', 'txn'], { type: 'delete', key: KEY.key }]);
});
