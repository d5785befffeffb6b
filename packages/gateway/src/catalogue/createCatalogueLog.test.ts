import assert from 'node:assert/strict';
import { test } from 'node:test';
import createCatalogueLog, { type CatalogueChange } from './createCatalogueLog.js';

const put = (key: string, revision: number): CatalogueChange => ({ key, value: `${key}${revision}`, revision });

const createFixture = () => {
  const seen: string[] = [];
  const log = createCatalogueLog({
    onSnapshot: ({ entries, revision }) => seen.push(`snapshot ${entries.length} at ${revision}`),
    onChanges: (changes) =>
      changes.forEach(({ key, value, revision }) => seen.push(`${value === undefined ? '-' : '+'}${key} ${revision}`)),
  });
  return { log, seen };
};

test('applies each change once when it arrives from several sources', () => {
  const { log, seen } = createFixture();
  log.replace({ entries: [{ key: 'a', value: 'a', revision: 3 }], revision: 5 });
  assert.equal(log.apply({ fromRevision: 5, toRevision: 7, changes: [put('b', 6), put('a', 7)] }), true);
  assert.equal(log.apply({ fromRevision: 4, toRevision: 8, changes: [put('b', 6), { key: 'a', revision: 8 }] }), true);
  log.replace({ entries: [], revision: 7 });
  assert.deepEqual(seen, ['snapshot 1 at 5', '+b 6', '+a 7', '-a 8']);
  assert.deepEqual(log.position, { era: 0, revision: 8 });
});

test('rejects changes after a gap, and all changes before the first snapshot', () => {
  const { log, seen } = createFixture();
  assert.equal(log.apply({ fromRevision: 0, toRevision: 2, changes: [put('a', 2)] }), false);
  log.replace({ entries: [], revision: 5 });
  assert.equal(log.apply({ fromRevision: 6, toRevision: 7, changes: [put('a', 7)] }), false);
  assert.deepEqual(seen, ['snapshot 0 at 5']);
});

test('returns the changes since a revision, and a snapshot when they are no longer kept', () => {
  const { log } = createFixture();
  log.replace({ entries: [{ key: 'a', value: 'a', revision: 3 }], revision: 5 });
  log.apply({ fromRevision: 5, toRevision: 6, changes: [put('b', 6)] });
  log.apply({
    era: 0,
    fromRevision: 6,
    toRevision: 9,
    changes: [{ key: 'a', revision: 8 }],
  });
  assert.deepEqual(log.since({ era: 0, revision: 6 }), {
    era: 0,
    fromRevision: 6,
    toRevision: 9,
    changes: [{ key: 'a', revision: 8 }],
  });
  assert.deepEqual(log.since({ era: 0, revision: 4 }), {
    entries: [{ key: 'b', value: 'b6', revision: 6 }],
    era: 0,
    revision: 9,
  });
  for (let revision = 10; revision < 1_000; revision += 1) {
    log.apply({ fromRevision: revision - 1, toRevision: revision, changes: [put('c', revision)] });
  }
  assert.ok('entries' in log.since({ era: 0, revision: 9 }));
  assert.ok('changes' in log.since({ era: 0, revision: 900 }));
});

test('applies a snapshot of a later era at a lower revision, and ignores late messages of the earlier era', () => {
  const { log, seen } = createFixture();
  log.replace({ entries: [], revision: 100, era: 1 });
  log.replace({ entries: [{ key: 'a', value: 'a', revision: 90 }], revision: 91, era: 2 });
  assert.equal(log.apply({ era: 1, fromRevision: 100, toRevision: 101, changes: [put('old', 101)] }), true);
  log.replace({ entries: [], revision: 120, era: 1 });
  assert.equal(log.apply({ era: 2, fromRevision: 91, toRevision: 92, changes: [put('new', 92)] }), true);
  assert.deepEqual(seen, ['snapshot 0 at 100', 'snapshot 1 at 91', '+new 92']);
});

test('rejects changes of a later era before its snapshot, and returns a snapshot to a host of an earlier era', () => {
  const { log, seen } = createFixture();
  log.replace({ entries: [], revision: 100, era: 1 });
  assert.equal(log.apply({ era: 2, fromRevision: 100, toRevision: 101, changes: [put('new', 101)] }), false);
  assert.deepEqual(seen, ['snapshot 0 at 100']);
  assert.ok('entries' in log.since({ era: 0, revision: 100 }));
  assert.ok('changes' in log.since({ era: 1, revision: 100 }));
});

test('changes without an era, from hosts of the previous version, belong to the current era', () => {
  const { log, seen } = createFixture();
  log.replace({ entries: [], revision: 100, era: 3 });
  assert.equal(log.apply({ fromRevision: 100, toRevision: 101, changes: [put('a', 101)] }), true);
  assert.deepEqual(seen, ['snapshot 0 at 100', '+a 101']);
});
