import assert from 'node:assert/strict';
import { test } from 'node:test';
import createCatalogueFleet from '../testing/createCatalogueFleet.js';

const HOSTS = 30;

/** A failure domain of many hosts that all start at the same time. */
const createFleet = () => createCatalogueFleet({ hosts: HOSTS, failureDomains: 1, registry: 'fixed' });

test('a few hosts of a failure domain follow the store, and all learn what changes within half a second', async () => {
  const { store, advance, addServer, countKnowing, close } = createFleet();
  await advance(4_000);
  assert.equal(store.watching().length, 2);
  const before = store.calls.reads;
  const serverId = addServer();
  await advance(500);
  assert.equal(countKnowing(serverId), HOSTS);
  await advance(10_000);
  assert.ok(store.calls.reads - before <= 20, `${store.calls.reads - before} calls in 10 s`);
  close();
});

test('a change reaches all hosts within 4 s when the relays are cut off from the store, or frozen', async () => {
  const { store, hosts, down, advance, addServer, countKnowing, close } = createFleet();
  await advance(4_000);
  const relays = store.watching();
  store.isCut = (hostId) => relays.includes(hostId);
  const first = addServer();
  await advance(4_000);
  assert.equal(countKnowing(first), HOSTS);
  assert.ok(store.watching().filter((hostId) => !relays.includes(hostId)).length <= 5, 'hosts that stand in');
  store.isCut = () => false;
  await advance(12_000);
  assert.equal(store.watching().length, 2);
  store.watching().forEach((hostId) => down.add(hostId));
  const frozen = [...down];
  store.isCut = (hostId) => frozen.includes(hostId);
  const second = addServer();
  await advance(4_000);
  assert.equal(countKnowing(second), HOSTS - frozen.length);
  assert.ok(
    hosts.every(({ hostId, directory }) => frozen.includes(hostId) || !directory.storeLost || directory.find(second)),
  );
  close();
});

test('a host that hears no other one follows the store by itself', async () => {
  const { store, hosts, down, advance, addServer, close } = createFleet();
  await advance(4_000);
  const alone = hosts.find(({ hostId }) => !store.watching().includes(hostId));
  down.add(alone?.hostId ?? '');
  await advance(500);
  const serverId = addServer();
  await advance(4_000);
  assert.notEqual(alone?.directory.find(serverId), undefined);
  close();
});

test('in an outage a failure domain asks the store seldom, and all hosts are back soon after it', async () => {
  const { store, hosts, advance, addServer, countKnowing, close } = createFleet();
  await advance(4_000);
  store.isCut = () => true;
  await advance(3_000);
  assert.ok(hosts.every(({ directory }) => directory.storeLost));
  const before = store.calls.reads;
  await advance(10_000);
  const calls = store.calls.reads - before;
  assert.ok(calls <= 6 * HOSTS, `${calls} calls in 10 s`);
  store.isCut = () => false;
  const serverId = addServer();
  await advance(2_000);
  assert.equal(countKnowing(serverId), HOSTS);
  await advance(4_000);
  assert.ok(hosts.every(({ directory }) => !directory.storeLost));
  close();
});
