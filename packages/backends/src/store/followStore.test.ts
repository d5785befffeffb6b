import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Subject, type Observer } from 'rxjs';
import { createManualClock } from '@bergamotcove/clock';
import BackendError from '../BackendError.js';
import followStore from './followStore.js';
import type { StoreEntry, WatchEvent } from './types.js';

const createEntry = (key: string, revision: number): StoreEntry => ({
  key,
  value: key,
  createRevision: '1',
  modRevision: String(revision),
});

const settle = (): Promise<void> => new Promise(setImmediate);

const createWorld = () => {
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
  });
  const watch = (): Observer<WatchEvent> => control.watches.at(-1) as Subject<WatchEvent>;
  return { clock, seen, control, follower, watch };
};

test('reads once, then watches from there', async () => {
  const { seen, control, watch } = createWorld();
  await settle();
  watch().next({ type: 'put', entry: createEntry('b', 5) });
  watch().next({ type: 'delete', key: 'a', revision: '6' });
  assert.deepEqual(seen, ['found', 'snapshot 1 at 4', 'put b', 'delete a at 6']);
  assert.deepEqual(control.from, ['5']);
});

test('a watch that breaks goes on where it was, and one without history begins with a read', async () => {
  const { clock, seen, control, watch } = createWorld();
  await settle();
  watch().next({ type: 'started', revision: '9' });
  watch().error(new BackendError('unavailable', 'reset'));
  clock.advance(1_000);
  assert.deepEqual(control.from, ['5', '10']);
  assert.equal(seen.at(-1), 'lost');
  watch().next({ type: 'started', revision: '10' });
  assert.equal(seen.at(-1), 'found');
  watch().error(new BackendError('compacted', 'gone'));
  clock.advance(1);
  await settle();
  assert.equal(control.ranges, 2);
});

test('is told of a silent connection and watches anew from the last revision', async () => {
  const { control, follower, watch, clock } = createWorld();
  await settle();
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

test('asks again and again until the store answers, and never after it was closed', async () => {
  const { clock, control, follower } = createWorld();
  control.reachable = false;
  await settle();
  follower.refresh();
  for (let round = 0; round < 6; round += 1) {
    await settle();
    clock.advance(1_000);
  }
  assert.ok(control.ranges >= 7);
  follower.close();
  const before = control.ranges;
  await settle();
  clock.advance(10_000);
  assert.equal(control.ranges, before);
});
