import assert from 'node:assert/strict';
import { test } from 'node:test';
import createCatalogueFleet, { type CatalogueFleet } from '../testing/createCatalogueFleet.js';
import type { StoreCalls } from '../testing/createStoreModel.js';

const STEP_MS = 50;
const SECOND_MS = 1_000;
/** Calls that the store can serve in a second. */
const MAX_WRITES_PER_SECOND = 1_200;
const MAX_READS_PER_SECOND = 6_000;
/** Time within which every host has the newest route table and servers. */
const MAX_CONVERGENCE_MS = 2_000;

interface RestoreResult {
  /** Time until every host has what was written after the restore. */
  readonly convergedMs: number;
  /** Highest number of calls in any second. */
  readonly peakCalls: StoreCalls;
}

const hasConverged = ({ hosts }: CatalogueFleet): boolean =>
  hosts.every(({ directory, tables }) => {
    const hasServers =
      directory.find('s3') !== undefined && directory.list('p').every(({ serverId }) => serverId !== 's2');
    return tables.current()?.table.version === 9 && hasServers;
  });

/**
 * Restores the store from a copy that is two seconds old and lacks a route table, a new server and the leaving of
 * another server.
 */
const runRestore = async (fleet: CatalogueFleet): Promise<RestoreResult> => {
  const { store, advance, putServer, putTable } = fleet;
  putTable(5);
  ['s1', 's2'].forEach((serverId) => putServer(serverId));
  await advance(12_000);
  const copy = store.copy();
  putTable(7);
  putServer('s2', { state: 'leaving' });
  putServer('s3');
  await advance(2_000);
  store.isUnreachable = () => true;
  await advance(600);
  store.restore(copy);
  store.isUnreachable = () => false;
  const samples: StoreCalls[] = [];
  let convergedMs = Infinity;
  for (let passedMs = 0; passedMs < 6_000; passedMs += STEP_MS) {
    if (passedMs === 400) {
      putServer('s3');
      putTable(9);
    }
    samples.push({ ...store.calls });
    await advance(STEP_MS);
    if (hasConverged(fleet)) {
      convergedMs = Math.min(convergedMs, passedMs + STEP_MS);
    }
  }
  const steps = SECOND_MS / STEP_MS;
  const callsPerSecond = samples.slice(steps).map((sample, index) => ({
    reads: sample.reads - (samples[index]?.reads ?? 0),
    writes: sample.writes - (samples[index]?.writes ?? 0),
  }));
  const peakCalls = {
    reads: Math.max(...callsPerSecond.map(({ reads }) => reads)),
    writes: Math.max(...callsPerSecond.map(({ writes }) => writes)),
  };
  return { convergedMs, peakCalls };
};

/** A larger fleet takes minutes and is run by hand, with FLEET_HOSTS. */
const LARGE_HOSTS = Number(process.env.FLEET_HOSTS ?? 100);

(
  [
    ['relays', 30, 1],
    ['relays', LARGE_HOSTS, 6],
    ['no relays', 30, 10],
  ] as const
).forEach(([name, hosts, failureDomains]) =>
  test(`${hosts} hosts with ${name} converge after a restore of the store, within its call limits`, async (context) => {
    const fleet = createCatalogueFleet({ hosts, failureDomains, registry: 'leased' });
    const { convergedMs, peakCalls } = await runRestore(fleet);
    context.diagnostic(`converged after ${convergedMs} ms; peak calls per second: ${JSON.stringify(peakCalls)}`);
    assert.ok(convergedMs <= MAX_CONVERGENCE_MS, `after ${convergedMs} ms`);
    assert.ok(
      peakCalls.writes <= MAX_WRITES_PER_SECOND && peakCalls.reads <= MAX_READS_PER_SECOND,
      JSON.stringify(peakCalls),
    );
    const listed = fleet.store.list().filter((key) => key.startsWith('hosts/')).length;
    assert.equal(listed, hosts);
    assert.ok(fleet.hosts.every(({ registry }) => registry.list().length === hosts));
    fleet.close();
  }),
);
