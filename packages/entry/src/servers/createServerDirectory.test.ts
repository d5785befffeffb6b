import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Subject } from 'rxjs';
import { createManualClock } from '@bergamotcove/clock';
import type { ListedHost } from '@bergamotcove/protocol';
import { LEAVING_RETENTION_MS } from './createLeavingServers.js';
import createServerDirectory from './createServerDirectory.js';

const SERVER: ListedHost = {
  id: 'e1',
  role: 'server',
  address: '10.0.0.7',
  port: 8000,
  pool: 'engines',
  failureDomain: 'd1',
  region: 'r1',
  state: 'live',
};

const startDirectory = (listed: readonly ListedHost[]) => {
  const clock = createManualClock();
  const changes = new Subject<readonly ListedHost[]>();
  let hosts = listed;
  const directory = createServerDirectory({ clock, hostList: { hosts: () => hosts, changes } });
  const change = (next: readonly ListedHost[]): void => {
    hosts = next;
    changes.next(next);
  };
  const states = (): readonly string[] => directory.listPool('engines').map(({ state }) => state);
  return { clock, directory, change, states };
};

test('a server that announces that it is leaving gets no work although the stale host list shows it as live', () => {
  const { directory, change, states } = startDirectory([SERVER]);
  assert.deepEqual(states(), ['live']);
  directory.noteLeaving('e1');
  change([{ ...SERVER }]);
  assert.deepEqual(states(), ['leaving']);
  directory.close();
});

test('a server that the host list shows as leaving and then as live gets work again at once', () => {
  const { directory, change, states } = startDirectory([SERVER]);
  directory.noteLeaving('e1');
  change([{ ...SERVER, state: 'leaving' }]);
  assert.deepEqual(states(), ['leaving']);
  change([SERVER]);
  assert.deepEqual(states(), ['live']);
  directory.close();
});

test('a server that restarts under its old name gets work again when its notice expires, so that it is not lost', () => {
  const { clock, directory, states } = startDirectory([SERVER]);
  directory.noteLeaving('e1');
  clock.advance(LEAVING_RETENTION_MS);
  assert.deepEqual(states(), ['live']);
  directory.close();
});

test("the servers of a pool follow the host list and servers' own leaving notices, so that no choice uses an old pool", () => {
  const other = { ...SERVER, id: 'e2' };
  const { clock, directory, change } = startDirectory([SERVER, other, { ...SERVER, id: 'e3', pool: 'encoders' }]);
  const states = (pool: string) => directory.listPool(pool).map(({ serverId, state }) => `${serverId} ${state}`);
  assert.deepEqual(states('engines'), ['e1 live', 'e2 live']);
  directory.noteLeaving('e1');
  assert.deepEqual(states('engines'), ['e1 leaving', 'e2 live']);
  clock.advance(1_000);
  change([SERVER, { ...other, pool: 'encoders' }]);
  assert.deepEqual([states('engines'), states('encoders')], [['e1 leaving'], ['e2 live']]);
  directory.note('e2', { type: 'sent', tokens: 1, long: false });
  assert.equal(directory.lastSentMs('e2'), 1_000);
  assert.equal(directory.lastSentMs('e1'), undefined);
  directory.close();
});
