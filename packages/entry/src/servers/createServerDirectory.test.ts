import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createManualClock } from '@bergamotcove/clock';
import type { ListedHost } from '@bergamotcove/platform';
import createServerDirectory from './createServerDirectory.js';

const POLL_MS = 1_000;
const createServer = (id: string, pool: string): ListedHost => ({
  id,
  role: 'server',
  address: '127.0.0.1',
  port: 1,
  pool,
  failureDomain: 'd',
  region: 'r',
  state: 'live',
});

test("the servers of a pool follow the host list and a server's own word, so that no choice uses an old pool", async () => {
  const clock = createManualClock();
  let hosts = [createServer('a', 'p'), createServer('b', 'p'), createServer('c', 'q')];
  const fetchList = () => Promise.resolve({ revision: 1, hosts });
  const directory = createServerDirectory({ clock, logger: { event: () => undefined }, pollMs: POLL_MS, fetchList });
  const states = (pool: string) => directory.listPool(pool).map(({ serverId, state }) => `${serverId} ${state}`);
  await directory.start();
  assert.deepEqual(states('p'), ['a live', 'b live']);
  directory.noteLeaving('a');
  assert.deepEqual(states('p'), ['a leaving', 'b live']);
  hosts = [createServer('a', 'p'), createServer('b', 'q')];
  clock.advance(POLL_MS);
  await new Promise(setImmediate);
  assert.deepEqual([states('p'), states('q')], [['a leaving'], ['b live']]);
  directory.note('b', { type: 'sent', tokens: 1, long: false });
  assert.equal(directory.lastSentMs('b'), POLL_MS);
  assert.equal(directory.lastSentMs('a'), undefined);
  directory.close();
});
