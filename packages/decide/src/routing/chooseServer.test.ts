import assert from 'node:assert/strict';
import { test } from 'node:test';
import chooseServer from './chooseServer.js';
import { NEW_SERVER_STATS } from './updateServerStats.js';
import type { DispatchRequest, PoolView, ServerView } from './types.js';

const makeServer = (serverId: string, change: Partial<ServerView> = {}): ServerView => ({
  ...NEW_SERVER_STATS,
  serverId,
  address: '127.0.0.1',
  port: 1,
  pool: 'encoders',
  failureDomain: 'a',
  region: 'r1',
  state: 'live',
  slowness: 1,
  ...change,
});

const makePool = (...servers: readonly ServerView[]): PoolView => ({ servers, msPerToken: 10, meanTokens: 10 });

const request: DispatchRequest = {
  tokens: 10,
  long: false,
  remainingMs: 1_000,
  avoidServers: [],
  failureDomain: 'a',
  region: 'r1',
  crossRegionAllowed: true,
  nowMs: 1_000,
};

const choose = (pool: PoolView, change: Partial<DispatchRequest> = {}, draw = 0.5): string | undefined => {
  const choice = chooseServer(pool, { ...request, ...change }, () => draw);
  return choice?.type === 'send' ? choice.server.serverId : choice?.type;
};

test('gives no work to a leaving server', () => {
  const leaving = makeServer('s1', { state: 'leaving' });
  assert.equal(choose(makePool(leaving, makeServer('s2', { failureDomain: 'b' }))), 's2');
  assert.equal(choose(makePool(leaving)), undefined);
});

test('chooses a server of the own region while it meets the deadline', () => {
  const far = makeServer('far', { region: 'r2', failureDomain: 'c' });
  const near = makeServer('near', { failureDomain: 'b', outstandingTokens: 200 });
  assert.equal(choose(makePool(far, near)), 'near');
});

test('chooses another region only for a deadline that the own region cannot meet, and only with byte budget', () => {
  const far = makeServer('far', { region: 'r2', failureDomain: 'c' });
  const near = makeServer('near', { outstandingTokens: 2_000 });
  assert.equal(choose(makePool(far, near)), 'far');
  assert.equal(choose(makePool(far, near), { crossRegionAllowed: false }), 'near');
});

test('waits while every window is full, and limits long attempts to their share of the window', () => {
  const full = makeServer('full', { outstanding: 4, window: 4 });
  assert.equal(choose(makePool(full)), 'wait');
  const longFull = makeServer('long-full', { longOutstanding: 2, window: 4 });
  assert.equal(choose(makePool(longFull), { long: true }), 'wait');
  assert.equal(choose(makePool(longFull)), 'long-full');
});

test('gives a straggler no work between two probes, and one attempt when a probe is due', () => {
  const slow = makeServer('slow', { slowness: 5, lastSentAtMs: 900 });
  const pool = makePool(slow, makeServer('s1'), makeServer('s2'));
  assert.notEqual(choose(pool), 'slow');
  assert.equal(choose(pool, { nowMs: 10_000 }), 'slow');
});

test('prefers a home server of the prefix only while it is within the bounded load', () => {
  const savedTokens = new Map([['home', 9]]);
  const others = ['s1', 's2', 's3'].map((id) => makeServer(id, { outstanding: 2, outstandingTokens: 20 }));
  const home = makeServer('home', { outstanding: 2, outstandingTokens: 30 });
  assert.equal(choose(makePool(home, ...others), { savedTokens }, 0.99), 'home');
  const loaded = makeServer('home', { outstanding: 8, outstandingTokens: 30 });
  assert.notEqual(choose(makePool(loaded, ...others), { savedTokens }, 0.99), 'home');
});

test('chooses an avoided slow server rather than one in a suspected failure domain, which would not answer', () => {
  const pool = makePool(makeServer('near'), makeServer('suspected', { failureDomain: 'b' }));
  const change = { avoidServers: ['near'], suspectedDomains: new Set(['b']) };
  assert.deepEqual([choose(pool, change, 0), choose(pool, change, 0.9)], ['near', 'near']);
  assert.equal(choose(makePool(makeServer('suspected', { failureDomain: 'b' })), change), 'suspected');
});

test('uses a suspected failure domain when the only other region has no byte budget, so no request starves', () => {
  const pool = makePool(makeServer('suspected', { failureDomain: 'b' }), makeServer('far', { region: 'r2' }));
  assert.equal(choose(pool, { suspectedDomains: new Set(['b']), crossRegionAllowed: false }), 'suspected');
});
