import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Subject, type Observer } from 'rxjs';
import { createManualClock } from '@bergamotcove/clock';
import BackendError from '../BackendError.js';
import followStore, { type StoreFollowerOptions } from './followStore.js';
import type { StoreEntry, WatchEvent } from './types.js';

const createEntry = (key: string, revision: number): StoreEntry => ({
  key,
  value: key,
  createRevision: '1',
  modRevision: String(revision),
});

const flushPromises = (): Promise<void> => new Promise(setImmediate);

const createFixture = (changes: Partial<StoreFollowerOptions> = {}) => {
  const clock = createManualClock();
  const seen: string[] = [];
  const control = { reachable: true, ranges: 0, from: [] as string[], watches: [] as Subject<WatchEvent>[] };
  const follower = followStore({
    clock,
    random: () => 0.5,
    prefix: '',
    store: {
      range: () => {
        control.ranges += 1;
        return control.reachable
          ? Promise.resolve({ entries: [createEntry('a', 4)], revision: '4' })
          : Promise.reject(new BackendError('unavailable', 'down'));
      },
      watch: (_, fromRevision) => {
        const watch = new Subject<WatchEvent>();
        control.from.push(fromRevision);
        control.watches.push(watch);
        return watch;
      },
    },
    onSnapshot: (entries, revision) => seen.push(`snapshot ${entries.length} at ${revision}`),
    onPut: ({ key }) => seen.push(`put ${key}`),
    onDelete: (key, revision) => seen.push(`delete ${key} at ${revision}`),
    onLost: () => seen.push('lost'),
    onFound: () => seen.push('found'),
    onFault: ({ message }) => seen.push(message),
    ...changes,
  });
  const watch = (): Observer<WatchEvent> => control.watches.at(-1) as Subject<WatchEvent>;
  return { clock, seen, control, follower, watch };
};

test('reads once, then watches from the next revision', async () => {
  const { seen, control, watch } = createFixture();
  await flushPromises();
  watch().next({ type: 'put', entry: createEntry('b', 5) });
  watch().next({ type: 'delete', key: 'a', revision: '6' });
  assert.deepEqual(seen, ['found', 'snapshot 1 at 4', 'put b', 'delete a at 6']);
  assert.deepEqual(control.from, ['5']);
});

test('a broken watch is resumed at the last revision, and one whose history was discarded starts with a read', async () => {
  const { clock, seen, control, watch } = createFixture();
  await flushPromises();
  watch().next({ type: 'started', revision: '9' });
  watch().error(new BackendError('unavailable', 'reset'));
  clock.advance(1_000);
  assert.deepEqual(control.from, ['5', '10']);
  assert.equal(seen.at(-1), 'lost');
  watch().next({ type: 'started', revision: '10' });
  assert.equal(seen.at(-1), 'found');
  watch().error(new BackendError('compacted', 'gone'));
  clock.advance(1);
  await flushPromises();
  assert.equal(control.ranges, 2);
});

test('a probe restarts the watch from the last revision, and does nothing while the store does not answer', async () => {
  const { control, follower, watch, clock } = createFixture();
  await flushPromises();
  watch().next({ type: 'started', revision: '7' });
  follower.probe();
  assert.deepEqual(control.from, ['5', '8']);
  assert.equal(control.watches[0]?.observed, false);
  watch().error(new BackendError('unavailable', 'silent'));
  follower.probe();
  assert.equal(control.watches.length, 2);
  clock.advance(1_000);
  assert.equal(control.watches.length, 3);
});

test('retries until the store answers, and makes no call after it was closed', async () => {
  const { clock, control, follower } = createFixture();
  control.reachable = false;
  await flushPromises();
  follower.refresh();
  for (let round = 0; round < 6; round += 1) {
    await flushPromises();
    clock.advance(1_000);
  }
  assert.ok(control.ranges >= 7);
  follower.close();
  const before = control.ranges;
  await flushPromises();
  clock.advance(10_000);
  assert.equal(control.ranges, before);
});

const throwFault = (): never => {
  throw new Error('fault');
};

test('after an exception over a snapshot, all entries are read again after a while', async () => {
  const { clock, seen, control } = createFixture({ onSnapshot: throwFault });
  await flushPromises();
  assert.deepEqual(seen, ['found', 'fault']);
  assert.deepEqual(control.from, []);
  clock.advance(500);
  assert.equal(control.ranges, 1);
  clock.advance(500);
  await flushPromises();
  assert.equal(control.ranges, 2);
  assert.deepEqual(seen, ['found', 'fault', 'fault']);
});

test('after an exception over a change, the watch ends, and all entries are read again', async () => {
  const { clock, seen, control, watch } = createFixture({ onPut: throwFault });
  await flushPromises();
  const first = watch();
  first.next({ type: 'put', entry: createEntry('b', 5) });
  first.next({ type: 'delete', key: 'a', revision: '6' });
  assert.deepEqual(seen, ['found', 'snapshot 1 at 4', 'fault']);
  clock.advance(1_000);
  await flushPromises();
  assert.deepEqual(seen, ['found', 'snapshot 1 at 4', 'fault', 'snapshot 1 at 4']);
  assert.deepEqual(control.from, ['5', '5']);
});

test('a follower that is closed by a callback that throws reads nothing any more', async () => {
  const { clock, control, follower } = createFixture({
    onSnapshot: () => {
      follower.close();
      throwFault();
    },
  });
  await flushPromises();
  clock.advance(1_000);
  assert.equal(control.ranges, 1);
});
