import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { PeerAddress } from '@bergamotcove/protocol';
import createVirtualFleet, { type VirtualFleet } from './_lib/createVirtualFleet.js';

const SEED = 11;

const runUntil = async (fleet: VirtualFleet, limitMs: number, done: () => boolean): Promise<number> => {
  const startMs = fleet.clock.monotonicMs();
  while (!done() && fleet.clock.monotonicMs() - startMs < limitMs) {
    await fleet.run(50);
  }
  return fleet.clock.monotonicMs() - startMs;
};

const upHosts = (fleet: VirtualFleet) => fleet.hosts.filter((host) => host.up);
const allHold = (fleet: VirtualFleet, service: string, version: number): boolean =>
  upHosts(fleet).every((host) => host.versions.get(service) === version);
const createCut = (name: string) => ({
  isCut: (from: PeerAddress, to: PeerAddress) => (from.failureDomain === name) !== (to.failureDomain === name),
});
const cutDomain = (fleet: VirtualFleet, name: string): void => {
  Object.assign(fleet.network.faults, createCut(name));
  Object.assign(fleet.store.faults, { isCut: (from: PeerAddress) => from.failureDomain === name });
};
const heal = (fleet: VirtualFleet): void => {
  Object.assign(fleet.network.faults, { isCut: () => false });
  Object.assign(fleet.store.faults, { isCut: () => false });
};

test('an accepted version is in force on every host within 4 s and never reverts', async () => {
  const fleet = createVirtualFleet({ hosts: 9, domains: 3, seed: SEED });
  await fleet.run(5_000);
  assert.ok(fleet.hosts.every((host) => host.distribution.ready()));
  const accepted = fleet.accept('clerk', 'c1');
  const tookMs = await runUntil(fleet, 4_000, () => allHold(fleet, 'clerk', 1));
  assert.equal((await accepted).type, 'accepted');
  assert.ok(tookMs < 4_000, `took ${tookMs} ms`);
});

test('a cut failure domain is one verdict and catches up within 4 s of healing', async () => {
  const fleet = createVirtualFleet({ hosts: 9, domains: 3, seed: SEED });
  await fleet.run(5_000);
  cutDomain(fleet, 'domain-2');
  await fleet.run(20_000);
  const outside = fleet.hosts.filter((host) => host.address.failureDomain !== 'domain-2');
  outside.forEach((host) => assert.equal(host.membership.liveHosts().length, 6));
  const deaths = fleet.changes.filter(({ name, fields }) => name === 'memberChanged' && fields.state === 'dead');
  assert.deepEqual(deaths, [], 'the loss of a failure domain must not be judged host by host');
  fleet.accept('clerk', 'c1').catch(() => undefined);
  await fleet.run(5_000);
  assert.ok(!allHold(fleet, 'clerk', 1));
  heal(fleet);
  const tookMs = await runUntil(fleet, 10_000, () => allHold(fleet, 'clerk', 1));
  assert.ok(tookMs < 4_000, `took ${tookMs} ms`);
  await fleet.run(5_000);
  fleet.hosts.forEach((host) => assert.equal(host.membership.liveHosts().length, 9));
});

test('a crashed host is dead in every view, and its restart is live again in spite of the old verdict', async () => {
  const fleet = createVirtualFleet({ hosts: 9, domains: 3, seed: SEED });
  await fleet.run(5_000);
  fleet.crash(4);
  const knows = () => upHosts(fleet).every((host) => host.membership.liveHosts().length === 8);
  assert.ok((await runUntil(fleet, 30_000, knows)) < 30_000);
  fleet.start(4);
  const back = () => fleet.hosts.every((host) => host.membership.liveHosts().length === 9);
  assert.ok((await runUntil(fleet, 30_000, back)) < 30_000);
});

test('a host that the list still names is judged by direct evidence, and a missing entry does not kill a live host', async () => {
  const fleet = createVirtualFleet({ hosts: 6, domains: 1, seed: SEED });
  await fleet.run(5_000);
  fleet.crash(0);
  await fleet.run(15_000);
  upHosts(fleet).forEach((host) => assert.equal(host.membership.liveHosts().length, 5));
  const [first, second] = upHosts(fleet);
  first?.membership.setListed([]);
  await fleet.run(500);
  assert.equal(first?.membership.liveHosts().length, 5);
  fleet.setListed(second?.address.hostId ?? '', 'leaving');
  await fleet.run(1_500);
  const states = fleet.hosts[3]?.membership.state().members;
  assert.equal(states?.get(second?.address.hostId ?? '')?.state, 'leaving');
});

test('a host that was paused past its verdict is live again within seconds and judges none of its peers dead', async () => {
  const fleet = createVirtualFleet({ hosts: 6, domains: 1, seed: SEED });
  await fleet.run(5_000);
  fleet.pause(2, 30_000);
  await fleet.run(20_000);
  assert.equal(fleet.hosts[0]?.membership.liveHosts().length, 5);
  await fleet.run(25_000);
  fleet.hosts.forEach((host) => assert.equal(host.membership.liveHosts().length, 6));
  const ownVerdicts = fleet.changes.filter(({ observer, fields }) => observer === 'entry-2' && fields.state === 'dead');
  assert.deepEqual(ownVerdicts, []);
});

test('an empty host in an outage of the store learns from peers before it turns ready', async () => {
  const fleet = createVirtualFleet({ hosts: 9, domains: 3, seed: SEED });
  fleet.accept('clerk', 'c1').catch(() => undefined);
  await fleet.run(5_000);
  fleet.store.faults.down = true;
  fleet.crash(5);
  fleet.start(5);
  assert.equal(fleet.hosts[5]?.distribution.ready(), false);
  await fleet.run(5_000);
  assert.equal(fleet.hosts[5]?.distribution.ready(), true);
  assert.equal(fleet.hosts[5]?.versions.get('clerk'), 1);
});

test('hosts that reach neither the store nor a ready peer stay unready', async () => {
  const fleet = createVirtualFleet({ hosts: 3, domains: 1, seed: SEED });
  fleet.store.faults.down = true;
  await fleet.run(20_000);
  assert.ok(fleet.hosts.every((host) => !host.distribution.ready()));
});

test('a store head below the version in force is reported and not followed, and the report ends when it is right again', async () => {
  const fleet = createVirtualFleet({ hosts: 6, domains: 2, seed: SEED });
  for (const changeId of ['c1', 'c2', 'c3']) {
    fleet.accept('clerk', changeId).catch(() => undefined);
    await fleet.run(2_000);
  }
  const key = '/bergamot/heads/clerk';
  const good = fleet.store.entry(key)?.value ?? '';
  const old = JSON.stringify({ ...JSON.parse(good), version: 1 });
  fleet.store.overwrite(key, old);
  await fleet.run(5_000);
  const reported = fleet.hosts.flatMap((host) => host.distribution.findings());
  assert.ok(reported.length > 0);
  assert.ok(
    reported.every(({ type, offered, inForce }) => type === 'store-regressed' && offered === 1 && inForce === 3),
  );
  assert.ok(allHold(fleet, 'clerk', 3));
  const other = JSON.stringify({ ...JSON.parse(good), changeId: 'forged' });
  fleet.store.overwrite(key, other);
  await fleet.run(5_000);
  assert.ok(fleet.hosts.some((host) => host.distribution.findings().some(({ type }) => type === 'hash-conflict')));
  fleet.store.overwrite(key, good);
  await fleet.run(180_000);
  assert.deepEqual(
    fleet.hosts.flatMap((host) => host.distribution.findings()),
    [],
  );
});

/** Crashes one host and returns the time until every other one knows. */
const timeCrash = async (fleet: VirtualFleet, index: number): Promise<number> => {
  fleet.crash(index);
  const id = fleet.hosts[index]?.address.hostId ?? '';
  return runUntil(fleet, 30_000, () =>
    upHosts(fleet).every(({ membership }) => membership.state().members.get(id)?.state === 'dead'),
  );
};

test('a crash is known everywhere within 8 s at 60 hosts, also while joins still spread', async () => {
  const fleet = createVirtualFleet({ hosts: 60, domains: 3, seed: SEED });
  await fleet.run(2_000);
  for (const index of [13, 44, 8]) {
    const tookMs = await timeCrash(fleet, index);
    assert.ok(tookMs <= 8_000, `host ${index} took ${tookMs} ms`);
  }
});

test('no host is left out when an update has been sent often within milliseconds, which took 24 s to repair', async () => {
  for (const seed of [1, 3, 4]) {
    const fleet = createVirtualFleet({ hosts: 30, domains: 3, seed });
    await fleet.run(6_000);
    for (let round = 0; round < 6; round += 1) {
      const index = Math.floor(fleet.random() * 30);
      const tookMs = await timeCrash(fleet, index);
      assert.ok(tookMs <= 8_000, `seed ${seed}, host ${index} took ${tookMs} ms`);
      fleet.start(index);
      await fleet.run(10_000);
    }
  }
});

test('the hosts of a lost rack are known in other failure domains, although one message holds few of them', async () => {
  const fleet = createVirtualFleet({ hosts: 60, domains: 3, seed: SEED });
  await fleet.run(8_000);
  const rack = Array.from({ length: 10 }, (_, index) => index * 3);
  rack.forEach((index) => fleet.crash(index));
  await fleet.run(30_000);
  upHosts(fleet).forEach(({ membership }) => assert.equal(membership.liveHosts().length, 50));
});

test('a pause of 1 s with 2% loss gives no verdict, so that a busy host keeps its work', async () => {
  const fleet = createVirtualFleet({ hosts: 30, domains: 3, seed: SEED });
  await fleet.run(6_000);
  fleet.network.faults.lossRatio = 0.02;
  fleet.changes.splice(0);
  for (let round = 0; round < 120; round += 1) {
    fleet.pause(Math.floor(fleet.random() * 30), 1_000);
    await fleet.run(1_000);
  }
  const verdicts = fleet.changes.filter(({ fields }) => fields.state === 'dead' || fields.state === 'lost');
  assert.deepEqual(verdicts, []);
});

test('hosts with the same view exchange only its hash, because whole views were half of all bytes at 410 hosts', async () => {
  const fleet = createVirtualFleet({ hosts: 30, domains: 3, seed: SEED });
  await fleet.run(20_000);
  const bytes = () =>
    fleet.hosts.reduce((sum, { address }) => sum + fleet.network.traffic(address.hostId).callBytes, 0);
  const before = bytes();
  await fleet.run(60_000);
  const syncs = 2 * 30;
  assert.ok(bytes() - before < syncs * 2 * 2_000, `${bytes() - before} B`);
});
