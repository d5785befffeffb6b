import assert from 'node:assert/strict';
import { test } from 'node:test';
import createCatalogueFleet from '../testing/createCatalogueFleet.js';

const HOSTS = 30;

/** Creates one failure domain of many hosts that start at the same time. */
const createFleet = () => createCatalogueFleet({ hosts: HOSTS, failureDomains: 1, registry: 'fixed' });

test('only the relays of a failure domain watch the store, and a change reaches all hosts within 500 ms', async () => {
  const { store, advance, addServer, countHostsWith, close } = createFleet();
  await advance(4_000);
  assert.equal(store.listWatchers().length, 2);
  const readsBefore = store.calls.reads;
  const serverId = addServer();
  await advance(500);
  assert.equal(countHostsWith(serverId), HOSTS);
  await advance(10_000);
  assert.ok(store.calls.reads - readsBefore <= 20, `${store.calls.reads - readsBefore} calls in 10 s`);
  close();
});

test('a change reaches all hosts within 4 s when the relays lose the store, or do not respond', async () => {
  const { store, hosts, unlinked, advance, addServer, countHostsWith, close } = createFleet();
  await advance(4_000);
  const relays = store.listWatchers();
  store.isUnreachable = (hostId) => relays.includes(hostId);
  const first = addServer();
  await advance(4_000);
  assert.equal(countHostsWith(first), HOSTS);
  assert.ok(store.listWatchers().filter((hostId) => !relays.includes(hostId)).length <= 5, 'standby relays');
  store.isUnreachable = () => false;
  await advance(12_000);
  assert.equal(store.listWatchers().length, 2);
  store.listWatchers().forEach((hostId) => unlinked.add(hostId));
  const unresponsive = [...unlinked];
  store.isUnreachable = (hostId) => unresponsive.includes(hostId);
  const second = addServer();
  await advance(4_000);
  assert.equal(countHostsWith(second), HOSTS - unresponsive.length);
  assert.ok(
    hosts.every(
      ({ hostId, directory }) => unresponsive.includes(hostId) || !directory.storeLost || directory.find(second),
    ),
  );
  close();
});

test('a host that reaches no other host watches the store itself', async () => {
  const { store, hosts, unlinked, advance, addServer, close } = createFleet();
  await advance(4_000);
  const isolated = hosts.find(({ hostId }) => !store.listWatchers().includes(hostId));
  unlinked.add(isolated?.hostId ?? '');
  await advance(500);
  const serverId = addServer();
  await advance(4_000);
  assert.notEqual(isolated?.directory.find(serverId), undefined);
  close();
});

test('in an outage a failure domain limits its calls to the store, and all hosts recover soon after it', async () => {
  const { store, hosts, advance, addServer, countHostsWith, close } = createFleet();
  await advance(4_000);
  store.isUnreachable = () => true;
  await advance(3_000);
  assert.ok(hosts.every(({ directory }) => directory.storeLost));
  const before = store.calls.reads;
  await advance(10_000);
  const calls = store.calls.reads - before;
  assert.ok(calls <= 6 * HOSTS, `${calls} calls in 10 s`);
  store.isUnreachable = () => false;
  const serverId = addServer();
  await advance(2_000);
  assert.equal(countHostsWith(serverId), HOSTS);
  await advance(4_000);
  assert.ok(hosts.every(({ directory }) => !directory.storeLost));
  close();
});

// Cold servers get nothing from hosts whose news of the store are older than 2 s, so a quiet store must not look lost.
test('with cold starts all hosts know how old their news of the store are, also through relays', async () => {
  const { store, hosts, advance, close } = createFleet();
  const countOld = (): number => hosts.filter(({ news }) => news.ageMs() >= 2_000).length;
  store.put('table', { version: 1, pools: [{ name: 'p', coldStart: { durationMs: 1, requestsPerSecond: 1 } }] });
  await advance(4_000);
  for (let step = 0; step < 100; step += 1) {
    // Sequential: the hosts act between the looks at them.

    await advance(100);
    assert.equal(countOld(), 0);
  }
  store.isUnreachable = () => true;
  await advance(2_300);
  assert.equal(countOld(), HOSTS);
  close();
});

// Guards against requests to an evacuated failure domain from hosts that lost the store: the bound is 5 s.
test('an evacuation and its end reach all hosts, also when the relays lose the store', async () => {
  const { store, hosts, advance, close } = createFleet();
  const countEvacuated = (): number => hosts.filter(({ evacuations }) => evacuations.has('d0')).length;
  await advance(4_000);
  store.put('evacuations/d0', {});
  await advance(500);
  assert.equal(countEvacuated(), HOSTS);
  const relays = store.listWatchers();
  store.isUnreachable = (hostId) => relays.includes(hostId);
  store.remove('evacuations/d0');
  await advance(4_000);
  assert.equal(countEvacuated(), 0);
  close();
});
