import assert from 'node:assert/strict';
import { test } from 'node:test';
import chooseServer from './chooseServer.js';
import type { ServerView } from './types.js';

const makeServer = (serverId: string, change: Partial<ServerView> = {}): ServerView => ({
  serverId,
  address: '127.0.0.1',
  port: 1,
  pool: 'encoders',
  failureDomain: 'a',
  region: 'r1',
  state: 'live',
  outstanding: 0,
  ...change,
});

const options = { avoidServers: [], failureDomain: 'a', region: 'r1', random: () => 0.5 };

test('gives no work to a leaving server', () => {
  const servers = [makeServer('s1', { state: 'leaving' }), makeServer('s2', { failureDomain: 'b' })];
  assert.equal(chooseServer(servers, options)?.serverId, 's2');
  assert.equal(chooseServer([makeServer('s1', { state: 'leaving' })], options), undefined);
});

test('stays in the own region while a server there is live', () => {
  const servers = [makeServer('far', { region: 'r2', failureDomain: 'c' }), makeServer('near', { failureDomain: 'b' })];
  assert.equal(chooseServer(servers, options)?.serverId, 'near');
});
