import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { PeerAddress } from '@bergamotcove/protocol';
import createVirtualFleet, { type VirtualFleet, type VirtualHost } from './_lib/createVirtualFleet.js';
import { runUntil } from './_lib/faults.js';

const SEED = 21;
const KNOWN_LIMIT_MS = 3_000;
const STEP = { limitMs: 60_000, stepMs: 50 };
const SERVER = 'server-3';

const startFleet = async (): Promise<VirtualFleet> => {
  const fleet = createVirtualFleet({ hosts: 18, domains: 3, seed: SEED, servers: 40 });
  await fleet.run(8_000);
  return fleet;
};

const upHosts = (fleet: VirtualFleet) => fleet.hosts.filter((host) => host.up);
const stateOf = (host: VirtualHost, id: string) => host.hostList.hosts().find((entry) => entry.id === id)?.state;
const allKnow = (fleet: VirtualFleet, state: 'leaving' | undefined) => (): boolean =>
  upHosts(fleet).every((host) => stateOf(host, SERVER) === state);
const reads = (fleet: VirtualFleet): readonly number[] =>
  fleet.hosts.map(({ address }) => fleet.network.traffic(address.hostId).listReads);

/** Indexes of the hosts of one failure domain that read the list. */
const findReaders = async (fleet: VirtualFleet, domain: string): Promise<readonly number[]> => {
  const before = reads(fleet);
  await fleet.run(6_000);
  const after = reads(fleet);
  return fleet.hosts.flatMap(({ address }, index) =>
    address.failureDomain === domain && (after[index] ?? 0) > (before[index] ?? 0) ? [index] : [],
  );
};

test('two hosts of each failure domain read the list, and a leaving server or host is known everywhere within 3 s', async () => {
  const fleet = await startFleet();
  for (const domain of ['domain-0', 'domain-1', 'domain-2']) {
    assert.equal((await findReaders(fleet, domain)).length, 2);
  }
  fleet.setListed(SERVER, 'leaving');
  assert.ok((await runUntil(fleet, allKnow(fleet, 'leaving'), STEP)) < KNOWN_LIMIT_MS);
  fleet.setListed('entry-4', 'leaving');
  const leaving = () =>
    fleet.hosts.every(
      (host) =>
        host.address.hostId === 'entry-4' || host.membership.state().members.get('entry-4')?.state === 'leaving',
    );
  assert.ok((await runUntil(fleet, leaving, STEP)) < KNOWN_LIMIT_MS);
  await fleet.run(20_000);
  assert.ok(leaving(), 'a host that learns of its entry later must not undo it');
});

test('a host that misses every push of a change reads the list within the limit', async () => {
  const fleet = await startFleet();
  fleet.setListed(SERVER, 'leaving');
  Object.assign(fleet.network.faults, { isCut: () => true });
  await fleet.run(1_200);
  Object.assign(fleet.network.faults, { isCut: () => false });
  assert.ok(!allKnow(fleet, 'leaving')(), 'the pushes must be lost, or the test shows nothing');
  assert.ok(1_200 + (await runUntil(fleet, allKnow(fleet, 'leaving'), STEP)) < KNOWN_LIMIT_MS);
});

test('a reader that nobody reaches delays no change, because the other one passes it on', async () => {
  const fleet = await startFleet();
  const [first = 0] = await findReaders(fleet, 'domain-1');
  const readerId = fleet.hosts[first]?.address.hostId;
  Object.assign(fleet.network.faults, {
    isCut: (from: PeerAddress, to: PeerAddress) => from.hostId === readerId || to.hostId === readerId,
  });
  fleet.setListed(SERVER, 'leaving');
  assert.ok((await runUntil(fleet, allKnow(fleet, 'leaving'), STEP)) < KNOWN_LIMIT_MS);
});

test('all pushes lost: hosts without any word of a reader read the list themselves', async () => {
  const fleet = await startFleet();
  Object.assign(fleet.network.faults, { isCut: () => true });
  fleet.setListed(SERVER, 'gone');
  assert.ok((await runUntil(fleet, allKnow(fleet, undefined), STEP)) < 12_000);
});

test('the death of a reader delays no change, and another host replaces it', async () => {
  const fleet = await startFleet();
  const [first = 0] = await findReaders(fleet, 'domain-2');
  fleet.crash(first);
  fleet.setListed(SERVER, 'leaving');
  assert.ok((await runUntil(fleet, allKnow(fleet, 'leaving'), STEP)) < KNOWN_LIMIT_MS);
  await fleet.run(10_000);
  const readers = await findReaders(fleet, 'domain-2');
  assert.equal(readers.length, 2);
  assert.ok(!readers.includes(first));
});

test('a read of an older revision is not followed, and a list that stays older is followed and reported', async () => {
  const fleet = await startFleet();
  const oldRevision = fleet.list.revision();
  fleet.setListed(SERVER, 'leaving');
  await fleet.run(KNOWN_LIMIT_MS);
  fleet.list.faults.showRevision = oldRevision;
  await fleet.run(8_000);
  assert.ok(allKnow(fleet, 'leaving')(), 'a replica that lags must not bring a leaving server back');
  fleet.list.faults.showRevision = undefined;
  await fleet.run(2_000);
  const before = fleet.changes.filter(({ name }) => name === 'hostListWentBack').length;
  assert.equal(before, 0);
  const [host] = fleet.hosts as [VirtualHost];
  fleet.list.restart(
    host.hostList.hosts().filter(({ id }) => id !== SERVER),
    oldRevision,
  );
  assert.ok((await runUntil(fleet, allKnow(fleet, undefined), STEP)) < 30_000);
  assert.ok(fleet.changes.some(({ name }) => name === 'hostListWentBack'));
  fleet.setListed('server-4', 'gone');
  const gone = () => upHosts(fleet).every((each) => stateOf(each, 'server-4') === undefined);
  assert.ok((await runUntil(fleet, gone, STEP)) < KNOWN_LIMIT_MS, 'later changes must spread as before');
});

test('an outage of the list keeps the last one, costs few reads, and ends within seconds', async () => {
  const fleet = await startFleet();
  fleet.list.faults.down = true;
  const before = reads(fleet);
  await fleet.run(60_000);
  const rates = reads(fleet).map((count, index) => (count - (before[index] ?? 0)) / 60);
  assert.ok(Math.max(...rates) < 1, 'reads must back off');
  fleet.hosts.forEach((host) => assert.equal(host.hostList.hosts().length, 58));
  assert.ok(fleet.hosts.every((host) => host.membership.liveHosts().length === 18));
  fleet.setListed(SERVER, 'gone');
  fleet.list.faults.down = false;
  assert.ok((await runUntil(fleet, allKnow(fleet, undefined), STEP)) < 8_000);
});
