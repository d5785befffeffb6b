import assert from 'node:assert/strict';
import { test } from 'node:test';
import createCatalogueFleet, { type CatalogueFleet } from '../testing/createCatalogueFleet.js';
import type { StoreCalls } from '../testing/createStoreModel.js';

const STEP_MS = 50;
const SECOND_MS = 1_000;
/** Calls a second that the store takes. */
const MAX_WRITES = 1_200;
const MAX_READS = 6_000;
/** Time after which every host holds the newest configuration and servers. */
const LEARN_MS = 2_000;

interface Learning {
  /** Time until every host holds what was written after the drill. */
  readonly learntMs: number;
  /** Most calls in any second. */
  readonly most: StoreCalls;
}

const readAll = ({ hosts }: CatalogueFleet): boolean =>
  hosts.every(({ directory, tables }) => {
    const isRight =
      directory.find('s3') !== undefined && directory.list('p').every(({ serverId }) => serverId !== 's2');
    return tables.current()?.table.version === 9 && isRight;
  });

/** Plays a drill: a copy of two seconds ago, with a configuration, a server and a loss that it does not have. */
const playDrill = async (fleet: CatalogueFleet): Promise<Learning> => {
  const { store, advance, putServer, putTable } = fleet;
  putTable(5);
  ['s1', 's2'].forEach((serverId) => putServer(serverId));
  await advance(12_000);
  const copy = store.copy();
  putTable(7);
  putServer('s2', { state: 'leaving' });
  putServer('s3');
  await advance(2_000);
  store.isCut = () => true;
  await advance(600);
  store.restore(copy);
  store.isCut = () => false;
  const samples: StoreCalls[] = [];
  let learntMs = Infinity;
  for (let passedMs = 0; passedMs < 6_000; passedMs += STEP_MS) {
    if (passedMs === 400) {
      putServer('s3');
      putTable(9);
    }
    samples.push({ ...store.calls });
    await advance(STEP_MS);
    if (readAll(fleet)) {
      learntMs = Math.min(learntMs, passedMs + STEP_MS);
    }
  }
  const steps = SECOND_MS / STEP_MS;
  const growths = samples.slice(steps).map((sample, index) => ({
    reads: sample.reads - (samples[index]?.reads ?? 0),
    writes: sample.writes - (samples[index]?.writes ?? 0),
  }));
  const most = {
    reads: Math.max(...growths.map(({ reads }) => reads)),
    writes: Math.max(...growths.map(({ writes }) => writes)),
  };
  return { learntMs, most };
};

/** A larger fleet takes minutes, and is played by hand. */
const LARGE_HOSTS = Number(process.env.FLEET_HOSTS ?? 100);

(
  [
    ['relays', 30, 1],
    ['relays', LARGE_HOSTS, 6],
    ['no relays', 30, 10],
  ] as const
).forEach(([name, hosts, failureDomains]) =>
  test(`${hosts} hosts with ${name} learn what is new after a drill, without a stampede`, async (context) => {
    const fleet = createCatalogueFleet({ hosts, failureDomains, registry: 'leased' });
    const { learntMs, most } = await playDrill(fleet);
    context.diagnostic(`learnt after ${learntMs} ms; most calls a second: ${JSON.stringify(most)}`);
    assert.ok(learntMs <= LEARN_MS, `after ${learntMs} ms`);
    assert.ok(most.writes <= MAX_WRITES && most.reads <= MAX_READS, JSON.stringify(most));
    const listed = fleet.store.list().filter((key) => key.startsWith('hosts/')).length;
    assert.equal(listed, hosts);
    assert.ok(fleet.hosts.every(({ registry }) => registry.list().length === hosts));
    fleet.close();
  }),
);
