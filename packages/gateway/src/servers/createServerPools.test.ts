import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createManualClock } from '@bergamotcove/clock';
import { createPoolTracker, type ServerDescription } from '@bergamotcove/decide';
import type { ForwardRequest } from '../requests/types.js';
import createServerPools, { type PlacementRequest, type ServerPoolsOptions } from './createServerPools.js';

const listServer = (serverId: string, region: string): ServerDescription => ({
  serverId,
  pool: 'p',
  address: '127.0.0.1',
  port: 1,
  failureDomain: `domain of ${region}`,
  region,
  state: 'live',
  softwareVersion: serverId,
});

/** Chooses a server often enough to see each that may be chosen. */
const choose = (
  regions: readonly string[] | undefined,
  changes: Partial<PlacementRequest> = {},
): readonly (string | undefined)[] => {
  const tracker = createPoolTracker();
  const servers = [listServer('s1', 'r1'), listServer('s2', 'r2')];
  const pools = createServerPools({
    clock: createManualClock(),
    directory: { view: () => tracker.view('p', servers, 0) },
    limits: { closedUntilMs: () => -Infinity },
    tables: { current: () => undefined },
    hosts: { list: () => [{}] },
    residency: { findRegions: () => regions },
    failureDomain: 'domain of r1',
    region: 'r1',
  } as unknown as ServerPoolsOptions);
  const request = { deadlineAtMs: 1_000 } as ForwardRequest;
  const placement = { request, pool: 'p', permitted: false, avoidServers: [], tokens: 1, prefillTokens: 0, ...changes };
  const chosen = Array.from({ length: 20 }, () => pools.choose(placement));
  pools.close();
  return [...new Set(chosen.map((choice) => (choice?.type === 'send' ? choice.server.serverId : choice?.type)))];
};

test('a server of a permitted region is chosen, and none rather than one of another region', () => {
  assert.deepEqual(choose(undefined), ['s1']);
  assert.deepEqual(choose(['r2']), ['s2']);
  assert.deepEqual(choose(['r2'], { avoidServers: ['s2'] }), ['s2']);
  assert.deepEqual(choose([]), [undefined]);
});

test('an engine that the scheduler assigned, and one of the version of a stream, must be in a permitted region', () => {
  assert.deepEqual(choose(undefined, { serverId: 's2' }), ['s2']);
  assert.deepEqual(choose(['r1'], { serverId: 's2' }), ['s1']);
  assert.deepEqual(choose(['r1'], { softwareVersion: 's2' }), [undefined]);
});
