import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createManualClock } from '@bergamotcove/clock';
import { NEVER } from 'rxjs';
import { createEraTracker, type StoreClient } from '@bergamotcove/backends';
import createHostRegistry, { type HostEntry } from './createHostRegistry.js';

const createHost = (hostId: string, region = 'r1', startId = '1'): HostEntry => ({
  hostId,
  target: { address: '10.0.0.1', port: 1 },
  failureDomain: 'a',
  region,
  capacity: 0.5,
  startId,
});

const createFixture = () => {
  const clock = createManualClock();
  const calls: string[] = [];
  const control = { failing: false };
  const answer = <Value>(name: string, value: Value): Promise<Value> => {
    calls.push(name);
    return control.failing ? Promise.reject(new Error('down')) : Promise.resolve(value);
  };
  const store: StoreClient = {
    get: () => answer('get', undefined),
    range: () => answer('range', { entries: [], revision: '1' }),
    txn: (_, success) => {
      calls.push(...success.map((op) => `${op.type} ${op.key}`));
      return answer('txn', { succeeded: true, revision: '1', gets: [] });
    },
    watch: () => NEVER,
    grantLease: () => answer('grant', 'lease'),
    keepAlive: () => answer('renew', 4_000),
    revokeLease: () => answer('revoke', undefined),
    close: () => undefined,
  };
  const registry = createHostRegistry({
    clock,
    store,
    logger: { event: () => undefined },
    eras: createEraTracker(),
    prefix: 'hosts/',
    self: createHost('h0'),
  });
  const put = (host: HostEntry): void =>
    registry.update({ put: [{ key: `hosts/${host.hostId}/${host.startId}`, text: JSON.stringify(host) }] });
  return { clock, calls, control, registry, put };
};

const listIds = (hosts: readonly HostEntry[]): readonly string[] => hosts.map(({ hostId }) => hostId).sort();

test('lists itself and the other hosts, each one once even with two starts', () => {
  const { registry, put } = createFixture();
  put(createHost('h1'));
  put(createHost('h1', 'r1', '2'));
  put(createHost('h2', 'r2'));
  assert.deepEqual(listIds(registry.list()), ['h0', 'h1', 'h2']);
  registry.update({ removed: ['hosts/h1/1'] });
  assert.deepEqual(listIds(registry.list()), ['h0', 'h1', 'h2']);
  registry.update({ removed: ['hosts/h1/2'] });
  assert.deepEqual(listIds(registry.list()), ['h0', 'h2']);
});

test('assigns a duty to one host of the region, and to the next one while the owner is silent', () => {
  const { clock, registry, put } = createFixture();
  ['h1', 'h2', 'h3'].forEach((hostId) => put(createHost(hostId)));
  put(createHost('far', 'r2'));
  const [owner, second] = registry.rankOwners('duty');
  assert.equal(registry.rankOwners('duty').length, 4);
  registry.noteSilent(owner?.hostId ?? '');
  assert.equal(registry.rankOwners('duty')[0]?.hostId, second?.hostId);
  clock.advance(2_001);
  assert.equal(registry.rankOwners('duty')[0]?.hostId, owner?.hostId);
  assert.deepEqual(listIds(registry.rankOwners('duty', 'r2')), ['far']);
});

test('a host that stays silent owns no duty for a time that doubles up to a limit', () => {
  const { clock, registry, put } = createFixture();
  put(createHost('h1'));
  const isUsable = (): boolean => registry.rankOwners('duty').some(({ hostId }) => hostId === 'h1');
  const times = [2_000, 4_000, 8_000, 8_000].map((silentMs) => {
    registry.noteSilent('h1');
    registry.noteSilent('h1');
    clock.advance(silentMs - 1);
    const early = isUsable();
    clock.advance(2);
    return [early, isUsable()];
  });
  assert.deepEqual(times, Array(4).fill([false, true]));
  clock.advance(10_000);
  registry.noteSilent('h1');
  clock.advance(2_001);
  assert.equal(isUsable(), true);
});

test('a silent host owns duties again as soon as it registers again', () => {
  const { registry, put } = createFixture();
  put(createHost('h1'));
  registry.noteSilent('h1');
  assert.deepEqual(listIds(registry.rankOwners('duty')), ['h0']);
  put(createHost('h1', 'r1', '2'));
  assert.deepEqual(listIds(registry.rankOwners('duty')), ['h0', 'h1']);
});

test('applies the snapshot of another host, and ignores an invalid entry', () => {
  const first = createFixture();
  first.put(createHost('h1'));
  const second = createFixture();
  second.registry.replace(first.registry.snapshot());
  assert.deepEqual(listIds(second.registry.list()), ['h0', 'h1']);
  second.registry.update({ put: [{ key: 'hosts/x/1', text: 'no entry' }] });
  assert.deepEqual(listIds(second.registry.list()), ['h0', 'h1']);
});

test('is no longer listed after it leaves, and removes its key', async () => {
  const { registry, calls } = createFixture();
  registry.start();
  await new Promise(setImmediate);
  await new Promise(setImmediate);
  await registry.leave();
  assert.deepEqual(registry.list(), []);
  const { hostId, startId } = registry.self;
  assert.equal(calls.filter((call) => call === `delete hosts/${hostId}/${startId}`).length, 1);
});

test('notifies its listeners when the store does not answer the calls of its lease', async () => {
  const { registry, control, clock } = createFixture();
  let failures = 0;
  registry.onStoreFailed(() => {
    failures += 1;
  });
  control.failing = true;
  registry.start();
  for (let step = 0; step < 20; step += 1) {
    clock.advance(100);
    await new Promise(setImmediate);
  }
  assert.ok(failures > 0);
  await registry.leave();
});

test('hosts that a restored copy of the store lacks stay listed until they have had time to register again', () => {
  const { registry, put, clock } = createFixture();
  ['h1', 'h2', 'h3'].forEach((hostId) => put(createHost(hostId)));
  registry.replace([], { keepsMissing: true });
  clock.advance(1_000);
  put(createHost('h2'));
  registry.update({ removed: ['hosts/h3/1'] });
  assert.deepEqual(listIds(registry.list()), ['h0', 'h1', 'h2']);
  // Another snapshot of the same era does not remove hosts whose time to register has not passed.
  registry.replace([{ key: 'hosts/h2/1', text: JSON.stringify(createHost('h2')) }]);
  assert.deepEqual(listIds(registry.list()), ['h0', 'h1', 'h2']);
  clock.advance(3_000);
  assert.deepEqual(listIds(registry.list()), ['h0', 'h2']);
});

const SOUND = createHost('h1');

[
  '',
  '{',
  'null',
  '5',
  '"text"',
  '[]',
  '{}',
  JSON.stringify({ ...SOUND, target: undefined }),
  JSON.stringify({ ...SOUND, hostId: 5 }),
  JSON.stringify({ ...SOUND, region: null }),
  JSON.stringify({ ...SOUND, target: null }),
  JSON.stringify({ ...SOUND, target: { address: 5, port: 1 } }),
  ...[0, -1, 1.5, 65_536, null, '1'].map((port) => JSON.stringify({ ...SOUND, target: { address: '10.0.0.1', port } })),
].forEach((text) =>
  test(`an entry that names no host that can be called is not listed: ${text || 'nothing'}`, () => {
    const { registry, put } = createFixture();
    put(createHost('h2'));
    registry.update({ put: [{ key: 'hosts/h1/1', text }] });
    assert.deepEqual(listIds(registry.list()), ['h0', 'h2']);
    registry.replace([{ key: 'hosts/h1/1', text }]);
    assert.deepEqual(listIds(registry.list()), ['h0']);
  }),
);
