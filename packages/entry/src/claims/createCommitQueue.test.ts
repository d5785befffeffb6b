import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { createManualClock } from '@bergamotcove/clock';
import { planCommitInterval } from '@bergamotcove/decide';
import createMemoryStore from './_lib/createMemoryStore.test.js';
import createCommitQueue, { type LogAppend } from './createCommitQueue.js';

const INTERVAL_MS = 20;

const makeAppend = (shard: number, seq: number, value = 'v'): LogAppend => ({
  key: `/${shard}/log/${seq}`,
  value,
  snapshot: { type: 'mod-revision', key: `/${shard}/snapshot`, revision: '0' },
});

const start = () => {
  const clock = createManualClock();
  const store = createMemoryStore();
  const queue = createCommitQueue({ clock, store: store.client, intervalMs: () => INTERVAL_MS });
  const run = async (durationMs: number): Promise<void> => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 1) {
      clock.advance(1);
      await new Promise(setImmediate);
    }
  };
  return { clock, store, queue, run };
};

test('shards that wait for the same commit need one store call, whatever their number', async () => {
  const { store, queue, run } = start();
  const results: boolean[] = [];
  for (let shard = 0; shard < 10; shard += 1) {
    queue.requestCommit(() => queue.append(makeAppend(shard, 1)).then((created) => results.push(created)));
  }
  await run(10);
  assert.deepEqual([store.calls.txns, results.length, results.every(Boolean)], [1, 10, true]);
});

test('an entry whose key already exists fails alone, and the other entries of the transaction are still created', async () => {
  const { store, queue, run } = start();
  store.write('/1/log/1', 'other');
  const results = [0, 1, 2].map((shard) => queue.append(makeAppend(shard, 1)));
  await run(10);
  assert.deepEqual(await Promise.all(results), [true, false, true]);
  assert.equal(store.calls.txns, 2);
});

test('an entry whose snapshot has changed fails alone, although its key does not exist', async () => {
  const { store, queue, run } = start();
  store.write('/1/snapshot', 'compacted');
  const results = [0, 1, 2].map((shard) => queue.append(makeAppend(shard, 1)));
  await run(10);
  assert.deepEqual(await Promise.all(results), [true, false, true]);
  assert.deepEqual(store.keys(), ['/0/log/1', '/1/snapshot', '/2/log/1']);
});

test('large entries are split into several transactions, so that none exceeds the size limit of the store', async () => {
  const { store, queue, run } = start();
  const results = [0, 1, 2, 3].map((shard) => queue.append(makeAppend(shard, 1, 'x'.repeat(250_000))));
  await run(10);
  assert.deepEqual(await Promise.all(results), [true, true, true, true]);
  assert.equal(store.calls.txns, 2);
});

test('the commit rate of a host stays within its limit when many conflicting entries are committed again', async () => {
  const { store, queue, run } = start();
  for (let seq = 0; seq < 500; seq += 1) {
    store.write(`/1/log/${seq}`, 'other');
    queue.requestCommit(() =>
      [0, 1, 2].forEach((shard) => queue.append(makeAppend(shard, seq)).catch(() => undefined)),
    );
    await run(4);
  }
  // One per interval in 2,000 ms, plus the burst and the second transaction of the last commit.
  assert.ok(store.calls.txns <= 2_000 / INTERVAL_MS + 5, `${store.calls.txns} transactions`);
});

test('all hosts together stay within 400 commits/s, even when every host writes to shards of other hosts', () => {
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 410 }), fc.integer({ min: 1, max: 64 }), (hosts, wanted) => {
      const owners = Math.min(hosts, wanted);
      const rate = (owner: boolean): number => 1_000 / planCommitInterval({ hosts, owners, owner });
      const others = hosts - owners;
      const total = owners * rate(true) + (others === 0 ? 0 : others * rate(false));
      assert.ok(total <= 400 + 1e-6, `${total} commits/s`);
    }),
    { seed: 4_714 },
  );
});
