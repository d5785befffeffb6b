import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import createLoadSchedule from './createLoadSchedule.js';
import hashServerId from './hashServerId.js';
import indexServers from './indexServers.js';
import loadIntervalMs from './loadIntervalMs.js';
import readReceiveDelay from './readReceiveDelay.js';
import readReportAge from './readReportAge.js';
import type { LoadHost, LoadServer } from './types.js';

const place = (domain: number) => ({ failureDomain: `d${domain}`, region: `r${Math.floor(domain / 2)}` });
const createHosts = (count: number, domains: number): readonly LoadHost[] =>
  Array.from({ length: count }, (_, index) => ({ hostId: `h${index}`, ...place(index % domains) }));
const createServers = (count: number, domains: number): readonly LoadServer[] =>
  Array.from({ length: count }, (_, index) => ({ serverId: `s${index}`, ...place(index % domains) }));
const scheduleOf = (self: LoadHost, hosts: readonly LoadHost[], servers: readonly LoadServer[]) => {
  const schedule = createLoadSchedule(() => 1);
  schedule.assign({ self, hosts, servers }, 0);
  return schedule;
};

test('hosts with the same view assign one collector to each server and expect the others of their region', () => {
  const sizes = fc.record({ hosts: fc.integer({ min: 2, max: 24 }), domains: fc.integer({ min: 1, max: 4 }) });
  fc.assert(
    fc.property(sizes, ({ hosts: count, domains }) => {
      const hosts = createHosts(count, Math.min(count, domains));
      const servers = createServers(40, Math.min(count, domains));
      const assignments = hosts.map((self) => scheduleOf(self, hosts, servers).assignment());
      servers.forEach(({ serverId }) => {
        assert.equal(assignments.filter(({ collects }) => collects.has(serverId)).length, 1);
      });
      assignments.forEach(({ collects, expects }, index) => {
        const inRegion = servers.filter(({ region }) => region === hosts[index]?.region);
        assert.equal(collects.size + expects.size, inRegion.length);
      });
    }),
    { numRuns: 50 },
  );
});

test('after the loss of one host most servers keep their collector, and no host had over 1.25 times the mean', () => {
  const hosts = createHosts(37, 1);
  const servers = createServers(155, 1);
  const divide = (live: readonly LoadHost[]) =>
    live.map((self) => [self.hostId, scheduleOf(self, live, servers).assignment().collects] as const);
  const before = new Map(divide(hosts));
  const after = new Map(divide(hosts.slice(0, 36)));
  const kept = [...after].flatMap(([hostId, ids]) => [...ids].filter((serverId) => before.get(hostId)?.has(serverId)));
  assert.ok(kept.length >= 155 * 0.8, `${kept.length} of 155 servers stay`);
  assert.ok(Math.max(...[...before.values()].map(({ size }) => size)) <= Math.ceil((155 / 37) * 1.25));
});

test('a server that another host takes over is polled here until a summary contains it, so no report is missed', () => {
  const hosts = createHosts(6, 1);
  const servers = createServers(24, 1);
  const self = hosts[0] as LoadHost;
  const rest = hosts.slice(0, 3);
  const schedule = scheduleOf(self, rest, servers);
  const before = schedule.assignment().collects;
  schedule.tick(0, () => false);
  schedule.assign({ self, hosts, servers }, 100);
  const moved = [...before].filter((serverId) => schedule.assignment().expects.has(serverId));
  assert.ok(moved.length > 1);
  const [named = '', unnamed = ''] = moved;
  schedule.noteHeard(named, 200);
  const round = schedule.tick(2_500, () => false).round ?? [];
  assert.ok(!round.includes(named));
  assert.ok(!round.includes(unnamed), 'still polled after 2.5 intervals');
  schedule.assign({ self, hosts: rest, servers }, 2_600);
  schedule.tick(3_500, () => false);
  schedule.assign({ self, hosts, servers }, 3_600);
  schedule.noteHeard(named, 3_700);
  const next = schedule.tick(4_500, () => false).round ?? [];
  assert.ok(!next.includes(named) && next.includes(unnamed));
});

test('servers of a failure domain without live entry hosts are still collected', () => {
  const hosts = createHosts(4, 2).filter((host) => host.failureDomain === 'd0');
  const servers = createServers(10, 2);
  const taken = hosts.flatMap((self) => [...scheduleOf(self, hosts, servers).assignment().collects]);
  assert.deepEqual(taken.sort(), servers.map((server) => server.serverId).sort());
});

test('a host that is alone with the whole fleet makes at most 20 polls at once and polls every server in 87 s', () => {
  const [self] = createHosts(1, 1) as [LoadHost];
  const schedule = scheduleOf(self, [self], createServers(1_700, 11));
  assert.equal(schedule.assignment().collects.size, 1_700);
  const seen = new Set<string>();
  for (let nowMs = 0; nowMs < 87_000; nowMs += 100) {
    const { round = [], alone } = schedule.tick(nowMs, () => true);
    assert.ok(round.length + alone.length <= 20, `${round.length} polls at once`);
    round.forEach((serverId) => seen.add(serverId));
  }
  assert.equal(seen.size, 1_700);
});

test('without summaries a host polls the servers it uses before the third interval ends, about 20 a second', () => {
  const hosts = createHosts(37, 1);
  const schedule = scheduleOf(hosts[0] as LoadHost, hosts, createServers(155, 1));
  const { intervalMs, expects } = schedule.assignment();
  const heard = [...expects].slice(0, 50);
  const polls: { readonly serverId: string; readonly atMs: number }[] = [];
  for (let nowMs = 0; nowMs < intervalMs * 4; nowMs += 100) {
    heard.forEach((serverId) => schedule.noteHeard(serverId, nowMs));
    const { alone } = schedule.tick(nowMs, (serverId) => serverId !== [...expects][60]);
    alone.forEach((serverId) => polls.push({ serverId, atMs: nowMs }));
  }
  const firstMs = polls[0]?.atMs ?? Infinity;
  assert.ok(firstMs >= intervalMs * 2 && firstMs < intervalMs * 3, `first at ${firstMs} ms`);
  assert.ok(polls.every(({ serverId }) => !heard.includes(serverId) && serverId !== [...expects][60]));
  const most = Math.max(...polls.map((one) => polls.filter(({ atMs }) => Math.abs(atMs - one.atMs) < 500).length));
  assert.ok(most <= 20 + 5, `${most} polls in 1 s`);
  assert.ok(new Set(polls.map(({ serverId }) => serverId)).size === expects.size - 51);
});

test('the intervals limit the summaries of large failure domains and the polls of small ones', () => {
  assert.deepEqual(loadIntervalMs(3, 6), { roundMs: 500, intervalMs: 500 });
  assert.deepEqual(loadIntervalMs(3, 12), { roundMs: 800, intervalMs: 800 });
  assert.deepEqual(loadIntervalMs(37, 155), { roundMs: 4_070, intervalMs: 4_070 });
  assert.equal(loadIntervalMs(80, 300).roundMs, 5_000);
  assert.equal(loadIntervalMs(1, 100).intervalMs, 5_000);
});

test('the age of a report is not distorted by clock errors or a pause of the receiver', () => {
  assert.equal(readReportAge({ clockLagMs: 300, elapsedMs: 4 }), 300);
  assert.equal(readReportAge({ clockLagMs: -60_000, elapsedMs: 4 }), 4);
  assert.equal(readReportAge({ clockLagMs: 12_000, elapsedMs: 12_000 }), 12_000);
  assert.equal(readReceiveDelay(90), 0);
  assert.equal(readReceiveDelay(6_000), 6_000);
});

test('servers with colliding hashes are left out of the index', () => {
  const ids = Array.from({ length: 200_000 }, (_, index) => `engine-${index}-of-pool-${index % 34}`);
  const firstByHash = new Map<number, string>();
  const pair = ids.find((id) => {
    const other = firstByHash.get(hashServerId(id));
    firstByHash.set(hashServerId(id), other ?? id);
    return other !== undefined;
  });
  assert.ok(pair !== undefined, 'no two ids share a hash');
  const other = firstByHash.get(hashServerId(pair)) as string;
  assert.deepEqual([...indexServers([pair, other, 'x']).values()], ['x']);
});
