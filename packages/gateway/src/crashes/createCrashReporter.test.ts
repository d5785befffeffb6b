import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createManualClock } from '@bergamotcove/clock';
import { POISON_BLOCK_MS } from '@bergamotcove/decide';
import { TransportError } from '@bergamotcove/transport';
import type { HostEntry, HostRegistry } from '../hosts/createHostRegistry.js';
import createCrashReporter from './createCrashReporter.js';
import type { CrashReport } from './messages.js';

const CRASH: CrashReport = { serverId: 's1', startId: '1', agoMs: 100, fingerprints: ['f'], doubtful: [] };

const createHost = (port: number, region: string, startId = '1'): HostEntry => ({
  hostId: `h${port}`,
  target: { address: '10.0.0.1', port },
  failureDomain: region,
  region,
  capacity: 0.5,
  startId,
});

/** Hosts in a fixed ranking: the earlier one owns a duty first. */
const createWorld = (entries: HostEntry[]) => {
  const clock = createManualClock();
  const silent = new Set<string>();
  const unreachable = new Set<number>();
  const calls: { readonly port: number; readonly report: CrashReport }[] = [];
  let changed = (): void => undefined;
  const hosts = {
    self: entries[0] as HostEntry,
    regions: () => [...new Set(entries.map(({ region }) => region))],
    rankOwners: (_: string, region: string) =>
      entries.filter((host) => host.region === region && !silent.has(host.hostId)),
    noteSilent: (hostId: string) => silent.add(hostId),
    onChange: (run: () => void) => {
      changed = run;
    },
  } as unknown as HostRegistry;
  const reporter = createCrashReporter({
    clock,
    links: {
      call: async ({ port }, _, params) => {
        calls.push({ port, report: params as CrashReport });
        if (unreachable.has(port)) {
          throw new TransportError('not-connected', 'cut');
        }
        return true;
      },
      notify: () => undefined,
      close: () => undefined,
    },
  });
  reporter.start(hosts);
  const listPorts = (): readonly number[] => calls.splice(0).map(({ port }) => port);
  return { clock, reporter, calls, silent, unreachable, listPorts, change: () => changed(), entries };
};

const settle = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

test('tells two keepers of each region, however many hosts there are', () => {
  const world = createWorld([
    createHost(1, 'r1'),
    ...Array.from({ length: 50 }, (_, index) => createHost(2 + index, 'r1')),
    ...Array.from({ length: 50 }, (_, index) => createHost(100 + index, 'r2')),
  ]);
  world.reporter.report(CRASH);
  assert.deepEqual(world.listPorts(), [2, 100, 101]);
});

test('tells a keeper that has started anew what it knew before, with the age of then', async () => {
  const world = createWorld([createHost(9, 'r1'), createHost(1, 'r1'), createHost(2, 'r1')]);
  world.entries.unshift(createHost(3, 'r1'));
  world.reporter.report(CRASH);
  await settle();
  world.listPorts();
  world.change();
  assert.deepEqual(world.listPorts(), []);
  world.clock.advance(5_000);
  world.entries[0] = createHost(3, 'r1', '2');
  world.change();
  assert.deepEqual(
    world.calls.map(({ port, report }) => [port, report.agoMs]),
    [[3, 5_100]],
  );
});

test('tells the next host when a keeper does not answer, and the keeper when it is back', async () => {
  const world = createWorld([createHost(1, 'r1'), createHost(2, 'r1'), createHost(3, 'r1'), createHost(4, 'r1')]);
  world.unreachable.add(2);
  world.reporter.report(CRASH);
  await settle();
  assert.deepEqual(world.listPorts(), [2]);
  world.clock.advance(1_000);
  assert.deepEqual(world.listPorts(), [3]);
  world.unreachable.clear();
  world.silent.clear();
  world.change();
  assert.deepEqual(world.listPorts(), [2]);
});

test('a report is not told any more when it does not count any more', () => {
  const world = createWorld([createHost(1, 'r1'), createHost(2, 'r1')]);
  world.reporter.report(CRASH);
  world.listPorts();
  world.clock.advance(POISON_BLOCK_MS);
  world.entries[1] = createHost(2, 'r1', '2');
  world.change();
  assert.deepEqual(world.listPorts(), []);
});

test('a released request is no part of what a new keeper is told', () => {
  const world = createWorld([createHost(1, 'r1'), createHost(2, 'r1')]);
  world.reporter.report({ ...CRASH, fingerprints: ['f', 'g'], doubtful: ['f'], answered: ['f'] });
  world.calls.splice(0);
  world.reporter.forget('f');
  world.entries[1] = createHost(2, 'r1', '2');
  world.change();
  const [call] = world.calls;
  assert.deepEqual([call?.report.fingerprints, call?.report.doubtful, call?.report.answered], [['g'], [], []]);
});
