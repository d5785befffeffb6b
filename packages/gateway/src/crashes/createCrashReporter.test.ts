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

/** Creates a reporter on the first host; duties are ranked in the order of the hosts. */
const createFixture = (entries: HostEntry[]) => {
  const clock = createManualClock();
  const silent = new Set<string>();
  const unreachable = new Set<number>();
  const calls: { readonly port: number; readonly report: CrashReport }[] = [];
  let notifyChange = (): void => undefined;
  const hosts = {
    self: entries[0] as HostEntry,
    regions: () => [...new Set(entries.map(({ region }) => region))],
    rankOwners: (_: string, region: string) =>
      entries.filter((host) => host.region === region && !silent.has(host.hostId)),
    noteSilent: (hostId: string) => silent.add(hostId),
    onChange: (run: () => void) => {
      notifyChange = run;
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
  return { clock, reporter, calls, silent, unreachable, listPorts, change: () => notifyChange(), entries };
};

const settle = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

test('reports to two collectors of each region, however many hosts there are', () => {
  const fixture = createFixture([
    createHost(1, 'r1'),
    ...Array.from({ length: 50 }, (_, index) => createHost(2 + index, 'r1')),
    ...Array.from({ length: 50 }, (_, index) => createHost(100 + index, 'r2')),
  ]);
  fixture.reporter.report(CRASH);
  assert.deepEqual(fixture.listPorts(), [2, 100, 101]);
});

test('reports a crash again, with its current age, to a collector that has restarted', async () => {
  const fixture = createFixture([createHost(9, 'r1'), createHost(1, 'r1'), createHost(2, 'r1')]);
  fixture.entries.unshift(createHost(3, 'r1'));
  fixture.reporter.report(CRASH);
  await settle();
  fixture.listPorts();
  fixture.change();
  assert.deepEqual(fixture.listPorts(), []);
  fixture.clock.advance(5_000);
  fixture.entries[0] = createHost(3, 'r1', '2');
  fixture.change();
  assert.deepEqual(
    fixture.calls.map(({ port, report }) => [port, report.agoMs]),
    [[3, 5_100]],
  );
});

test('reports to the next host when a collector does not answer, and to the collector when it is back', async () => {
  const fixture = createFixture([createHost(1, 'r1'), createHost(2, 'r1'), createHost(3, 'r1'), createHost(4, 'r1')]);
  fixture.unreachable.add(2);
  fixture.reporter.report(CRASH);
  await settle();
  assert.deepEqual(fixture.listPorts(), [2]);
  fixture.clock.advance(1_000);
  assert.deepEqual(fixture.listPorts(), [3]);
  fixture.unreachable.clear();
  fixture.silent.clear();
  fixture.change();
  assert.deepEqual(fixture.listPorts(), [2]);
});

test('a report is not sent any more once the crash no longer counts', () => {
  const fixture = createFixture([createHost(1, 'r1'), createHost(2, 'r1')]);
  fixture.reporter.report(CRASH);
  fixture.listPorts();
  fixture.clock.advance(POISON_BLOCK_MS);
  fixture.entries[1] = createHost(2, 'r1', '2');
  fixture.change();
  assert.deepEqual(fixture.listPorts(), []);
});

test('a report to a new collector does not contain a released request', () => {
  const fixture = createFixture([createHost(1, 'r1'), createHost(2, 'r1')]);
  fixture.reporter.report({ ...CRASH, fingerprints: ['f', 'g'], doubtful: ['f'], answered: ['f'] });
  fixture.calls.splice(0);
  fixture.reporter.forget('f');
  fixture.entries[1] = createHost(2, 'r1', '2');
  fixture.change();
  const [call] = fixture.calls;
  assert.deepEqual([call?.report.fingerprints, call?.report.doubtful, call?.report.answered], [['g'], [], []]);
});
