import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createManualClock } from '@bergamotcove/clock';
import type { ServerEntry } from '../ports.js';
import sampleFormat from '../testing/sampleFormat.js';
import createBackendDirectory from './createBackendDirectory.js';
import createEvacuations from './createEvacuations.js';

const createFixture = () => {
  const clock = createManualClock();
  const events: string[] = [];
  const logger = { event: (name: string) => events.push(name) };
  const regions = { a: 'r1', b: 'r2' };
  const evacuations = createEvacuations({ logger, regions: () => regions });
  const directory = createBackendDirectory({ clock, logger, format: sampleFormat, regions, evacuations });
  const put = (serverId: string, revision: number, changes: Partial<ServerEntry> = {}): void => {
    const entry = { serverId, pool: 'p', address: '10.0.0.1', port: revision, failureDomain: 'a', state: 'live' };
    directory.put({ serverId, revision, text: JSON.stringify({ ...entry, startedAtMs: 1, ...changes }) });
  };
  const list = (): readonly string[] => directory.list('p').map(({ serverId }) => serverId);
  return { clock, directory, evacuations, events, put, list };
};

test('lists live servers with their region, and omits leaving ones', () => {
  const { directory, put, list } = createFixture();
  put('s1', 1);
  put('s2', 2, { failureDomain: 'b' });
  put('s3', 3, { state: 'leaving' });
  assert.deepEqual(list(), ['s1', 's2']);
  assert.deepEqual(
    directory.list('p').map(({ region }) => region),
    ['r1', 'r2'],
  );
  assert.equal(directory.find('s3')?.state, 'leaving');
  assert.equal(directory.findAt('10.0.0.1:2')?.serverId, 's2');
});

test('ignores an older state of an entry, and an entry that was removed at a later revision', () => {
  const { directory, put, list } = createFixture();
  put('s1', 5);
  put('s1', 4, { state: 'leaving' });
  assert.deepEqual(list(), ['s1']);
  directory.remove('s1', { era: 0, revision: 6 });
  put('s1', 5);
  assert.deepEqual(list(), []);
  put('s1', 7);
  assert.deepEqual(list(), ['s1']);
});

test('a snapshot removes the entries that it lacks, except those that are newer than it', () => {
  const { directory, put, list } = createFixture();
  put('s1', 1);
  put('s2', 9);
  directory.replace({ servers: [], revision: 5 });
  assert.deepEqual(list(), ['s2']);
});

test('an entry that names no server or an unknown failure domain is ignored and logged', () => {
  const { directory, put, list, events } = createFixture();
  directory.put({ serverId: 's1', revision: 1, text: '' });
  put('s2', 2, { failureDomain: 'elsewhere' });
  put('s3', 3, { failureDomain: 'constructor' });
  assert.deepEqual(list(), []);
  assert.deepEqual(events, ['serverEntryIgnored', 'serverEntryIgnored', 'serverEntryIgnored']);
});

test('applies new regions to the entries that it has', () => {
  const { directory, put, list } = createFixture();
  put('s1', 1, { failureDomain: 'c' });
  assert.deepEqual(list(), []);
  directory.setRegions({ a: 'r1', c: 'r3' });
  assert.equal(directory.list('p')[0]?.region, 'r3');
});

test('a server gets no work after another process answered at its address, until it registers a new process', () => {
  const { directory, put, list } = createFixture();
  put('s1', 1);
  directory.noteReplaced('s1');
  assert.deepEqual(list(), []);
  put('s1', 2);
  assert.deepEqual(list(), []);
  put('s1', 3, { startedAtMs: 2 });
  assert.deepEqual(list(), ['s1']);
});

test('live entries that expire in an outage stay until shortly after it, and longer if they are rewritten', () => {
  const { clock, directory, put, list } = createFixture();
  put('s1', 1);
  put('s2', 2);
  put('s3', 3, { state: 'leaving' });
  directory.noteStore('lost');
  directory.replace({ servers: [], revision: 10 });
  assert.deepEqual(list(), ['s1', 's2']);
  assert.equal(directory.find('s3'), undefined);
  directory.noteStore('found');
  clock.advance(1_900);
  assert.deepEqual(list(), ['s1', 's2']);
  put('s2', 12);
  clock.advance(200);
  assert.deepEqual(list(), ['s2']);
  assert.equal(directory.storeLost, false);
  directory.remove('s2', { era: 0, revision: 13 });
  assert.deepEqual(list(), []);
});

test('a snapshot for other hosts omits entries that expired in an outage', () => {
  const { directory, put } = createFixture();
  put('s1', 1);
  put('s2', 2);
  directory.noteStore('lost');
  directory.remove('s1', { era: 0, revision: 3 });
  assert.deepEqual(
    directory.snapshot().servers.map(({ serverId }) => serverId),
    ['s2'],
  );
  assert.equal(directory.snapshot().revision, 3);
});

const LEAVING = { leaving: true, restMs: undefined };

test('a process that announced that it leaves gets no work when its entry is rewritten, but its successor does', () => {
  const { directory, put, list } = createFixture();
  put('s1', 1);
  put('s2', 2);
  directory.applyNotice('s1', LEAVING);
  assert.deepEqual(list(), ['s2']);
  assert.deepEqual(directory.listExcluded('p'), ['s1']);
  directory.remove('s1', { era: 0, revision: 3 });
  directory.remove('s2', { era: 0, revision: 4 });
  directory.applyNotice('s2', LEAVING);
  put('s1', 5);
  put('s2', 6);
  assert.deepEqual(list(), []);
  put('s1', 7, { startedAtMs: 2 });
  assert.deepEqual(list(), ['s1']);
});

test('a server that asked for a back-off is listed, but not available before the back-off ends', () => {
  const { clock, directory, events, put, list } = createFixture();
  put('s1', 1);
  put('s2', 2);
  const listAvailable = (): readonly string[] => directory.view('p').servers.map(({ serverId }) => serverId);
  directory.applyNotice('s1', { leaving: false, restMs: 2_000 });
  directory.applyNotice('s1', { leaving: false, restMs: 500 });
  assert.deepEqual([list(), listAvailable()], [['s1', 's2'], ['s2']]);
  assert.equal(directory.readBackoffRemainingMs('p'), undefined);
  directory.applyNotice('s2', { leaving: false, restMs: 1_000 });
  assert.deepEqual([listAvailable(), directory.readBackoffRemainingMs('p')], [[], 1_000]);
  clock.advance(1_000);
  assert.deepEqual(listAvailable(), ['s2']);
  clock.advance(1_000);
  assert.deepEqual(listAvailable(), ['s1', 's2']);
  assert.equal(events.filter((name) => name === 'serverRests').length, 3);
});

test('the back-off of a server does not apply to its next process', () => {
  const { directory, put } = createFixture();
  put('s1', 1);
  directory.applyNotice('s1', { leaving: false, restMs: 60_000 });
  put('s1', 2, { startedAtMs: 2 });
  assert.equal(directory.view('p').servers.length, 1);
});

test('late messages of an earlier era are ignored', () => {
  const { directory, put, list } = createFixture();
  put('s1', 100);
  directory.replace({ servers: [], revision: 91, era: 1 });
  directory.replace({ servers: [], revision: 200, era: 0 });
  directory.remove('s1', { era: 0, revision: 201 });
  assert.deepEqual(list(), ['s1']);
  assert.deepEqual(directory.position, { era: 1, revision: 91 });
});

test('servers that a restored copy of the store lacks stay until they have had time to register again', () => {
  const { clock, directory, put, list } = createFixture();
  put('s1', 100);
  put('s2', 101);
  directory.replace({ servers: [], revision: 91, era: 1 });
  assert.deepEqual(list(), ['s1', 's2']);
  put('s2', 92);
  clock.advance(2_000);
  assert.deepEqual(list(), ['s2']);
});

test('a restored copy lists no server again that was leaving or had left, but a new process of it is listed', () => {
  const { directory, put, list } = createFixture();
  const entry = { pool: 'p', address: '10.0.0.1', port: 1, failureDomain: 'a', state: 'live', startedAtMs: 1 };
  const copied = ['s1', 's2', 's3'].map((serverId, index) => ({
    serverId,
    revision: index + 1,
    text: JSON.stringify({ serverId, ...entry }),
  }));
  directory.replace({ servers: copied, revision: 3 });
  put('s1', 101, { state: 'leaving' });
  put('s2', 102, { state: 'leaving' });
  directory.remove('s2', { era: 0, revision: 103 });
  directory.remove('s3', { era: 0, revision: 104 });
  directory.replace({ servers: copied, revision: 91, era: 1 });
  assert.deepEqual(list(), []);
  // A snapshot of a host that does not know that they have left.
  directory.replace({ servers: copied, revision: 92, era: 1 });
  assert.deepEqual(list(), []);
  put('s3', 93);
  put('s2', 94);
  assert.deepEqual(list(), ['s3']);
  put('s2', 95, { startedAtMs: 2 });
  assert.deepEqual(list(), ['s3', 's2']);
});

// Guards against requests to servers of a domain that operators evacuate, and against a pool that never comes back.
test('servers of an evacuated failure domain get nothing until the evacuation ends', () => {
  const { directory, evacuations, put, list, events } = createFixture();
  put('s1', 1);
  put('s2', 2, { failureDomain: 'b' });
  evacuations.put('a', { era: 0, revision: 3 });
  put('s3', 4);
  assert.deepEqual([list(), directory.isEvacuated('p'), directory.find('s1')?.state], [['s2'], false, 'live']);
  evacuations.put('b', { era: 0, revision: 5 });
  assert.deepEqual([list(), directory.isEvacuated('p'), directory.readBackoffRemainingMs('p')], [[], true, 1_000]);
  evacuations.remove('a', { era: 0, revision: 6 });
  evacuations.remove('b', { era: 0, revision: 6 });
  assert.deepEqual([list(), directory.isEvacuated('p')], [['s1', 's2', 's3'], false]);
  assert.equal(events.filter((event) => event === 'evacuationEnded').length, 2);
});

test('an entry whose parser throws names no server, and the others of the snapshot are listed', () => {
  const clock = createManualClock();
  const events: string[] = [];
  const logger = { event: (name: string) => events.push(name) };
  const regions = { a: 'r1' };
  const evacuations = createEvacuations({ logger, regions: () => regions });
  const format = {
    ...sampleFormat,
    readServer: (serverId: string, text: string) => {
      assert.notEqual(serverId, 'faulty', 'a fault of this test');
      return sampleFormat.readServer(serverId, text);
    },
  };
  const directory = createBackendDirectory({ clock, logger, format, regions, evacuations });
  const entry = { pool: 'p', address: '10.0.0.1', port: 1, failureDomain: 'a', state: 'live', startedAtMs: 1 };
  const servers = ['faulty', 'sound'].map((serverId) => ({ serverId, revision: 1, text: JSON.stringify(entry) }));
  directory.replace({ servers, revision: 1 });
  assert.deepEqual(
    directory.list('p').map(({ serverId }) => serverId),
    ['sound'],
  );
  assert.ok(events.includes('answerReaderFailed'));
});
