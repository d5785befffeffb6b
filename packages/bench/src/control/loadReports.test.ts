import assert from 'node:assert/strict';
import { test } from 'node:test';
import { hashServerId, loadIntervalMs } from '@bergamotcove/decide';
import { encodeLoadSummary, LOAD_SUMMARY, type PeerAddress } from '@bergamotcove/protocol';
import createVirtualFleet from './_lib/createVirtualFleet.js';
import createVirtualLoad from './_lib/createVirtualLoad.js';
import { cutDomain, healAll, runUntil } from './_lib/faults.js';

const SEED = 21;
const SERVERS_PER_HOST = 4;
/** Answer of a server, delivery of a summary and rounding of ages. */
const SLACK_MS = 100;

const createSetup = async (hosts: number, domains: number, isUsed?: (serverId: string) => boolean) => {
  const fleet = createVirtualFleet({ hosts, domains, seed: SEED });
  await fleet.run(3_000);
  const load = createVirtualLoad(fleet, { serversPerHost: SERVERS_PER_HOST, ...(isUsed ? { isUsed } : {}) });
  const { intervalMs } = loadIntervalMs(hosts / domains, (hosts * SERVERS_PER_HOST) / domains);
  await fleet.run(intervalMs * 4);
  const collectorOf = (serverId: string): number => {
    const [hostId] = load.pollersOf(serverId, intervalMs * 2);
    return fleet.hosts.findIndex((host) => host.address.hostId === hostId);
  };
  /** Largest age over the running hosts and the servers of the given failure domains. */
  const worstAgeMs = (watching: (host: PeerAddress) => boolean, domainNames: readonly string[]): number =>
    Math.max(
      ...fleet.hosts.flatMap(({ up, address }, index) =>
        up && watching(address)
          ? load.servers
              .filter((server) => domainNames.includes(server.failureDomain))
              .map((server) => load.hosts[index]?.ageMs(server.serverId) ?? Infinity)
          : [],
      ),
    );
  return { fleet, load, intervalMs, collectorOf, worstAgeMs };
};

const everyone = () => true;

test('each server is polled by one host and every host of the region has its report', async () => {
  const { fleet, load, intervalMs, worstAgeMs } = await createSetup(12, 3);
  load.servers.forEach(({ serverId }) => assert.equal(load.pollersOf(serverId, intervalMs * 2).size, 1, serverId));
  assert.ok(worstAgeMs(({ failureDomain }) => failureDomain === 'domain-0', ['domain-0']) <= intervalMs + SLACK_MS);
  // The first two failure domains share a region; a forwarded report waits for the next summary.
  const near = worstAgeMs(({ region }) => region === 'region-0', ['domain-0', 'domain-1']);
  assert.ok(near <= 2 * intervalMs + SLACK_MS, `${near} ms`);
  const far = fleet.hosts.findIndex(({ address }) => address.failureDomain === 'domain-2');
  assert.ok(load.servers.some(({ serverId }) => load.hosts[far]?.ageMs(serverId) === undefined));
});

for (const hosts of [6, 30]) {
  test(`the servers of a crashed collector are reported again within 3 intervals, ${hosts} hosts`, async () => {
    const { fleet, load, intervalMs, collectorOf } = await createSetup(hosts, 1);
    // Long enough for the verdict on the crashed host, after which one host takes each server over.
    const watchMs = 15_000;
    const collector = collectorOf(load.servers[0]?.serverId ?? '');
    const orphans = load.servers.filter(({ serverId }) => collectorOf(serverId) === collector);
    fleet.crash(collector);
    const crashedMs = fleet.clock.monotonicMs();
    const lastMs = new Map<string, number>();
    while (fleet.clock.monotonicMs() - crashedMs < watchMs) {
      await fleet.run(50);
      fleet.hosts.forEach(({ up }, index) => {
        const ages = orphans.map(({ serverId }) => load.hosts[index]?.ageMs(serverId) ?? Infinity);
        lastMs.set(String(index), Math.max(lastMs.get(String(index)) ?? 0, up ? Math.max(...ages) : 0));
      });
    }
    const worst = Math.max(...lastMs.values());
    assert.ok(worst <= 3 * intervalMs + SLACK_MS, `oldest report ${worst} ms, interval ${intervalMs} ms`);
    orphans.forEach(({ serverId }) => assert.equal(load.pollersOf(serverId, intervalMs * 2).size, 1));
  });
}

test('a cut failure domain keeps its own reports, and reports of the others return within 3 intervals of healing', async () => {
  const { fleet, intervalMs, worstAgeMs } = await createSetup(18, 3);
  const inside = ({ failureDomain }: PeerAddress) => failureDomain === 'domain-1';
  cutDomain(fleet, 'domain-1');
  for (let step = 0; step < 40; step += 1) {
    await fleet.run(500);
    const age = worstAgeMs(inside, ['domain-1']);
    assert.ok(age <= intervalMs + SLACK_MS, `${age} ms inside after ${step} steps`);
  }
  assert.ok(worstAgeMs(inside, ['domain-0']) > 10 * intervalMs, 'reports came through the cut');
  healAll(fleet);
  const both = () => worstAgeMs(({ region }) => region === 'region-0', ['domain-0', 'domain-1']);
  const tookMs = await runUntil(fleet, () => both() <= 2 * intervalMs + SLACK_MS, { limitMs: 20_000, stepMs: 50 });
  assert.ok(tookMs <= 3 * intervalMs + SLACK_MS, `took ${tookMs} ms, interval ${intervalMs} ms`);
});

test('reports of used servers go on when every summary is lost, and unused servers are left alone', async () => {
  const isUsed = (serverId: string): boolean => serverId.endsWith('server-0');
  const { fleet, load, intervalMs, worstAgeMs } = await createSetup(10, 1, isUsed);
  fleet.network.faults.lossRatio = 1;
  await fleet.run(intervalMs * 3);
  const polls = load.hosts.map((host) => host.polls());
  const seconds = 2;
  await fleet.run(seconds * 1_000);
  load.hosts.forEach((host, index) => assert.ok((host.polls() - (polls[index] ?? 0)) / seconds <= 20 + 5));
  const used = load.servers.filter(({ serverId }) => isUsed(serverId));
  const worst = Math.max(...load.hosts.flatMap((host) => used.map(({ serverId }) => host.ageMs(serverId) ?? Infinity)));
  assert.ok(worst <= 3 * intervalMs + SLACK_MS, `${worst} ms`);
  assert.ok(worstAgeMs(everyone, ['domain-0']) > 3 * intervalMs);
});

test('a fifth of lost summaries leaves every report younger than 3 intervals', async () => {
  const { fleet, load, intervalMs, worstAgeMs } = await createSetup(10, 1);
  fleet.network.faults.lossRatio = 0.2;
  const worst: number[] = [];
  for (let step = 0; step < 100; step += 1) {
    await fleet.run(200);
    worst.push(worstAgeMs(everyone, ['domain-0']));
  }
  assert.ok(Math.max(...worst) <= 3 * intervalMs + SLACK_MS, `${Math.max(...worst)} ms`);
  assert.deepEqual(
    load.hosts.map((host) => host.steppedBack()).filter((count) => count > 0),
    [],
  );
});

test('a summary that arrives late and after a newer one changes nothing', async () => {
  const { fleet, load, collectorOf } = await createSetup(4, 1);
  const { serverId } = load.servers[0] as (typeof load.servers)[0];
  const collector = collectorOf(serverId);
  const late = { serverHash: hashServerId(serverId), running: 99, queued: 99, tokensPerSecond: 1, ageMs: 1_500 };
  fleet.hosts[collector]?.membership.broadcastSummary(LOAD_SUMMARY, encodeLoadSummary([late]));
  await fleet.run(5);
  load.hosts.forEach((host) => {
    assert.equal(host.running(serverId), 1);
    assert.equal(host.steppedBack(), 0);
  });
});

test('two hosts that both believe to be the collector leave the newest report in use, and one of them remains', async () => {
  const { fleet, load, intervalMs, collectorOf, worstAgeMs } = await createSetup(6, 1);
  const { serverId } = load.servers[0] as (typeof load.servers)[0];
  const collector = collectorOf(serverId);
  const hostId = fleet.hosts[collector]?.address.hostId;
  const witness = fleet.hosts[(collector + 1) % 6];
  // One host reaches the collector and keeps it in its view; the others do not.
  const isApart = (one: PeerAddress, other: PeerAddress): boolean =>
    one.hostId === hostId && other.hostId !== witness?.address.hostId;
  fleet.network.faults.isCut = (from, to) => isApart(from, to) || isApart(to, from);
  let most = 0;
  for (let step = 0; step < 100; step += 1) {
    await fleet.run(200);
    load.setRunning(step);
    most = Math.max(most, load.pollersOf(serverId, intervalMs).size);
  }
  assert.ok(most >= 2, 'the hosts never disagreed');
  healAll(fleet);
  await fleet.run(20_000);
  load.hosts.forEach((host) => assert.equal(host.steppedBack(), 0));
  assert.equal(load.pollersOf(serverId, intervalMs * 2).size, 1);
  assert.ok(worstAgeMs(everyone, ['domain-0']) <= intervalMs + SLACK_MS);
});

test('a host that was paused does not take the summaries that waited for it as new', async () => {
  const { fleet, load, intervalMs, collectorOf } = await createSetup(6, 1, () => false);
  const paused = 2;
  const fromPeers = load.servers.filter(({ serverId }) => collectorOf(serverId) !== paused);
  const pausedMs = 5_000;
  fleet.pause(paused, pausedMs);
  await fleet.run(pausedMs + 5);
  fromPeers.forEach(({ serverId }) => {
    const ageMs = load.hosts[paused]?.ageMs(serverId) ?? 0;
    assert.ok(ageMs >= pausedMs, `${serverId} taken as ${ageMs} ms old`);
  });
  await fleet.run(intervalMs * 3);
  const worst = Math.max(...fromPeers.map(({ serverId }) => load.hosts[paused]?.ageMs(serverId) ?? Infinity));
  assert.ok(worst <= intervalMs + SLACK_MS, `${worst} ms`);
});
