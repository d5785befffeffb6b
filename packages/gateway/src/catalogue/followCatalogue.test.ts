import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Observable, type Subscriber } from 'rxjs';
import { BackendError, createEraTracker, type StoreEntry, type WatchEvent } from '@bergamotcove/backends';
import { createManualClock, type Clock } from '@bergamotcove/clock';
import { rankByCapacity } from '@bergamotcove/decide';
import type { LinkMethod, LinkPeer } from '@bergamotcove/transport';
import type { HostEntry, HostRegistry } from '../hosts/createHostRegistry.js';
import type { CatalogueFormat, ServerEntry } from '../ports.js';
import createBackendDirectory from './createBackendDirectory.js';
import createRouteTableHolder from './createRouteTableHolder.js';
import followCatalogue from './followCatalogue.js';

const HOSTS = 30;
const STEP_MS = 50;
const FORMAT: CatalogueFormat = {
  routeTableKey: 'table',
  serverPrefix: 'servers/',
  hostPrefix: 'hosts/',
  blockPrefix: 'blocks/',
  releasePrefix: 'releases/',
  readRouteTable: () => undefined,
  readServer: (serverId, text) => ({ serverId, ...(JSON.parse(text) as Omit<ServerEntry, 'serverId'>) }),
};

const PEER: LinkPeer = { remoteAddress: '10.0.0.1', onClose: () => () => undefined };

/** A store whose calls are counted, and that some hosts may not reach. */
const createStore = (clock: Clock) => {
  const entries = new Map<string, StoreEntry>();
  const events: WatchEvent[] = [];
  const watches = new Map<Subscriber<WatchEvent>, { readonly hostId: string; from: number }>();
  const control = { revision: 1, calls: 0, isCut: (_: string): boolean => false };
  const tell = (watch: Subscriber<WatchEvent>): void => {
    const state = watches.get(watch);
    if (state === undefined || control.isCut(state.hostId)) {
      return;
    }
    control.calls += 1;
    const fresh = events.filter(
      (event) => Number(event.type === 'put' ? event.entry.modRevision : event.revision) >= state.from,
    );
    state.from = control.revision + 1;
    fresh.forEach((event) => watch.next(event));
    watch.next({ type: 'started', revision: String(control.revision) });
  };
  const put = (key: string, value: object): void => {
    control.revision += 1;
    const modRevision = String(control.revision);
    const entry = { key, value: JSON.stringify(value), createRevision: '1', modRevision };
    entries.set(key, entry);
    events.push({ type: 'put', entry });
    [...watches.keys()].forEach(tell);
  };
  const clientOf = (hostId: string) => ({
    range: () => {
      control.calls += 1;
      return control.isCut(hostId)
        ? Promise.reject(new BackendError('unavailable', 'cut'))
        : Promise.resolve({ entries: [...entries.values()], revision: String(control.revision) });
    },
    watch: (_: string, fromRevision: string, { quietMs = 4_000 } = {}): Observable<WatchEvent> =>
      new Observable((subscriber) => {
        watches.set(subscriber, { hostId, from: Number(fromRevision) });
        control.calls += control.isCut(hostId) ? 1 : 0;
        let timer = clock.schedule(0, function poll() {
          if (control.isCut(hostId)) {
            subscriber.error(new BackendError('unavailable', 'cut'));
            return;
          }
          tell(subscriber);
          timer = clock.schedule(quietMs, poll);
        });
        return () => {
          timer.close();
          watches.delete(subscriber);
        };
      }),
  });
  return { control, put, clientOf, watching: () => [...watches.values()].map(({ hostId }) => hostId) };
};

/** A failure domain of many hosts that all start at the same time. */
const createFleet = () => {
  const clock = createManualClock();
  const store = createStore(clock);
  const network = new Map<number, Readonly<Record<string, LinkMethod>>>();
  const down = new Set<string>();
  const entries = Array.from({ length: HOSTS }, (_, index): HostEntry => ({
    hostId: `h${index}`,
    target: { address: '10.0.0.1', port: index },
    failureDomain: 'a',
    region: 'r1',
    capacity: 0.3,
    startId: '1',
  }));
  const hosts = entries.map((self) => {
    const logger = { event: () => undefined };
    const directory = createBackendDirectory({ clock, logger, format: FORMAT, regions: { a: 'r1' } });
    const follower = followCatalogue({
      clock,
      logger,
      blocks: {
        put: () => undefined,
        remove: () => undefined,
        putRelease: () => undefined,
        removeRelease: () => undefined,
        replace: () => undefined,
      },
      links: {
        call: async (target, method, params) => {
          const serve = network.get(target.port)?.[method];
          if (serve === undefined || down.has(self.hostId) || down.has(`h${target.port}`)) {
            throw new Error('no link');
          }
          return JSON.parse(JSON.stringify(await serve(JSON.parse(JSON.stringify(params)), PEER))) as unknown;
        },
        notify: () => undefined,
        close: () => undefined,
      },
      store: store.clientOf(self.hostId),
      eras: createEraTracker(),
      format: FORMAT,
      tables: createRouteTableHolder({ clock, logger, format: FORMAT }),
      directory,
      random: () => 0.5,
    });
    network.set(self.target.port, follower.methods);
    const registry = {
      self,
      list: () => entries,
      rankOwners: (duty: string) => rankByCapacity(entries, duty),
      onChange: () => undefined,
      replace: () => undefined,
    } as unknown as HostRegistry;
    follower.start(registry);
    return { hostId: self.hostId, directory, follower };
  });
  const advance = async (ms: number): Promise<void> => {
    for (let passedMs = 0; passedMs < ms; passedMs += STEP_MS) {
      clock.advance(STEP_MS);
      // Messages between hosts take a few turns of the loop.
      for (let turn = 0; turn < 4; turn += 1) {
        await new Promise(setImmediate);
      }
    }
  };
  let server = 0;
  const addServer = (): string => {
    server += 1;
    const value = { pool: 'p', address: '10.0.0.9', port: server, failureDomain: 'a', state: 'live', startedAtMs: 1 };
    store.put(`servers/s${server}`, value);
    return `s${server}`;
  };
  /** Hosts that know a server. */
  const countKnowing = (serverId: string): number =>
    hosts.filter(({ directory }) => directory.find(serverId) !== undefined).length;
  return {
    clock,
    store,
    hosts,
    down,
    advance,
    addServer,
    countKnowing,
    close: () =>
      hosts.forEach(({ follower, directory }) => {
        follower.close();
        directory.close();
      }),
  };
};

test('a few hosts of a failure domain follow the store, and all learn what changes within half a second', async () => {
  const { store, advance, addServer, countKnowing, close } = createFleet();
  await advance(4_000);
  assert.equal(store.watching().length, 2);
  const before = store.control.calls;
  const serverId = addServer();
  await advance(500);
  assert.equal(countKnowing(serverId), HOSTS);
  await advance(10_000);
  assert.ok(store.control.calls - before <= 20, `${store.control.calls - before} calls in 10 s`);
  close();
});

test('a change reaches all hosts within 4 s when the relays are cut off from the store, or frozen', async () => {
  const { store, hosts, down, advance, addServer, countKnowing, close } = createFleet();
  await advance(4_000);
  const relays = store.watching();
  store.control.isCut = (hostId) => relays.includes(hostId);
  const first = addServer();
  await advance(4_000);
  assert.equal(countKnowing(first), HOSTS);
  assert.ok(store.watching().filter((hostId) => !relays.includes(hostId)).length <= 5, 'hosts that stand in');
  store.control.isCut = () => false;
  await advance(12_000);
  assert.equal(store.watching().length, 2);
  store.watching().forEach((hostId) => down.add(hostId));
  const frozen = [...down];
  store.control.isCut = (hostId) => frozen.includes(hostId);
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
  store.control.isCut = () => true;
  await advance(3_000);
  assert.ok(hosts.every(({ directory }) => directory.storeLost));
  const before = store.control.calls;
  await advance(10_000);
  const calls = store.control.calls - before;
  assert.ok(calls <= 6 * HOSTS, `${calls} calls in 10 s`);
  store.control.isCut = () => false;
  const serverId = addServer();
  await advance(2_000);
  assert.equal(countKnowing(serverId), HOSTS);
  await advance(4_000);
  assert.ok(hosts.every(({ directory }) => !directory.storeLost));
  close();
});
