import assert from 'node:assert/strict';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { after, before, test } from 'node:test';
import { createSystemClock } from '@bergamotcove/clock';
import { createHttpClient, createPeerAuth, createPeerClient, type PeerKey } from '@bergamotcove/transport';
import { createRawServer } from '@bergamotcove/transport/testing';
import { builtScript } from './paths.js';
import startProcess, { type BenchProcess } from './startProcess.js';

const ADDRESS = '127.0.0.1';
const OLD_KEY: PeerKey = { id: 'k1', secret: 'old-secret-of-the-test' };
const NEW_KEY: PeerKey = { id: 'k2', secret: 'new-secret-of-the-test' };
const BALANCER_LAG_MS = 20_000;
const SHORT_LAG_MS = 1_000;
const RELOAD_TIMEOUT_MS = 3_000;
const POLL_MS = 50;

let directory = '';
let standins: readonly BenchProcess[] = [];

const startStandin = (kind: 'store' | 'host-list'): Promise<BenchProcess> =>
  startProcess(kind, [builtScript('standins', 'main.js'), JSON.stringify({ kind, address: ADDRESS, port: 0 })]);

before(async () => {
  directory = mkdtempSync(path.join(tmpdir(), 'bergamot-daemon-'));
  standins = await Promise.all([startStandin('store'), startStandin('host-list')]);
});

after(async () => {
  standins.forEach((process) => process.signal('SIGTERM'));
  await Promise.all(standins.map(({ exited }) => exited));
  rmSync(directory, { recursive: true });
});

const writeSettings = (file: string, keys: readonly PeerKey[], changes: object = {}): void => {
  const [store, hostList] = standins.map(({ ready }) => `http://${ADDRESS}:${String(ready.port)}`);
  const settings = {
    host: { id: 'entry-0', address: ADDRESS, failureDomain: 'd1', region: 'r1' },
    callers: { port: 0 },
    peers: { port: 0, keys },
    store: { urls: [store] },
    hostList: { url: `${hostList}/v1/hosts`, pollMs: 200 },
    drain: { balancerLagMs: BALANCER_LAG_MS, timeoutMs: BALANCER_LAG_MS },
    log: { namespaces: '' },
    ...changes,
  };
  writeFileSync(file, JSON.stringify(settings));
};

const startDaemon = async (name: string) => {
  const file = path.join(directory, `${name}.json`);
  writeSettings(file, [OLD_KEY]);
  return { file, daemon: await startProcess(name, [builtScript('entry', 'main.js'), '--settings', file]) };
};

const delay = (delayMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });

/** Whether the daemon accepts a peer call that is signed with the key. */
const acceptsKey = async (daemon: BenchProcess, key: PeerKey): Promise<boolean> => {
  const http = createHttpClient();
  const peers = createPeerClient(http, { auth: createPeerAuth({ clock: createSystemClock(), keys: [key] }) });
  const target = { address: ADDRESS, port: Number(daemon.ready.peersPort) };
  try {
    await peers.call(target, 'poison.report', { type: 'release', fingerprint: 'none' }, { timeoutMs: 1_000 });
    return true;
  } catch {
    return false;
  } finally {
    http.close();
  }
};

const waitUntilAccepted = async (daemon: BenchProcess, key: PeerKey): Promise<boolean> => {
  const endMs = performance.now() + RELOAD_TIMEOUT_MS;
  while (performance.now() < endMs) {
    if (await acceptsKey(daemon, key)) {
      return true;
    }
    await delay(POLL_MS);
  }
  return false;
};

test('SIGHUP loads new peer keys and keeps the current ones when the file is invalid, so that no host is cut off', async () => {
  const { file, daemon } = await startDaemon('reload');
  assert.equal(await acceptsKey(daemon, OLD_KEY), true);
  assert.equal(await acceptsKey(daemon, NEW_KEY), false);
  writeSettings(file, [NEW_KEY]);
  daemon.signal('SIGHUP');
  assert.equal(await waitUntilAccepted(daemon, NEW_KEY), true);
  assert.equal(await acceptsKey(daemon, OLD_KEY), false);
  writeFileSync(file, '{ "peers": ');
  daemon.signal('SIGHUP');
  await delay(POLL_MS * 4);
  assert.equal(await acceptsKey(daemon, NEW_KEY), true);
  daemon.signal('SIGKILL');
  await daemon.exited;
});

test('a second SIGTERM ends a drain at once with exit code 1, so that an operator need not wait for the drain', async () => {
  const { daemon } = await startDaemon('stop');
  const startedAtMs = performance.now();
  daemon.signal('SIGTERM');
  await delay(POLL_MS * 4);
  daemon.signal('SIGTERM');
  assert.equal(await daemon.exited, 1);
  assert.ok(performance.now() - startedAtMs < BALANCER_LAG_MS / 2);
});

test('a daemon whose port is already in use reports EADDRINUSE, so that its starter can choose another port', async () => {
  const [store] = standins;
  const file = path.join(directory, 'taken.json');
  writeSettings(file, [OLD_KEY]);
  const settings = JSON.parse(readFileSync(file, 'utf8')) as object;
  writeFileSync(file, JSON.stringify({ ...settings, callers: { port: store?.ready.port } }));
  const start = startProcess('taken', [builtScript('entry', 'main.js'), '--settings', file]);
  await assert.rejects(start, /EADDRINUSE/);
});

test('invalid settings end the daemon with exit code 2 before it listens, so that no half-configured host serves', async () => {
  const file = path.join(directory, 'wrong.json');
  writeFileSync(file, JSON.stringify({ host: { id: 'entry-0' } }));
  await assert.rejects(
    startProcess('wrong', [builtScript('entry', 'main.js'), '--settings', file]),
    /ended with code 2 before it was ready/,
  );
});

/** Makes the process throw, in a callback that nothing guards, for each answer that has the field `X-Fault`. */
const THROW_AT_FAULT = `data:text/javascript,${encodeURIComponent(`
  import http from 'node:http';
  import { EventEmitter } from 'node:events';
  http.ClientRequest.prototype.emit = function emit(name, ...values) {
    if (name === 'response' && values[0].headers['x-fault'] !== undefined) {
      setTimeout(() => { throw new Error('a fault of this test'); });
    }
    return EventEmitter.prototype.emit.call(this, name, ...values);
  };
`)}`;

test('a daemon that fails while it reads an answer stops in order, and ends with exit code 1', async () => {
  let fields = '';
  const hostList = await createRawServer((_, socket) => {
    socket.write(`HTTP/1.1 200 OK\r\n${fields}Content-Length: 2\r\n\r\n[]`);
  });
  const file = path.join(directory, 'fault.json');
  writeSettings(file, [OLD_KEY], {
    hostList: { url: `http://${ADDRESS}:${hostList.port}/v1/hosts`, pollMs: 50 },
    drain: { balancerLagMs: SHORT_LAG_MS, timeoutMs: BALANCER_LAG_MS },
  });
  const args = ['--import', THROW_AT_FAULT, builtScript('entry', 'main.js'), '--settings', file];
  const daemon = await startProcess('fault', args);
  const client = createHttpClient();
  const readReadiness = async (): Promise<string> => {
    const target = { address: ADDRESS, port: Number(daemon.ready.callersPort) };
    const { status, body } = await client.send(target, { method: 'GET', path: '/readyz' });
    return `${status} ${body}`;
  };
  try {
    assert.match(await readReadiness(), /"draining":false/);
    fields = 'X-Fault: 1\r\n';
    const startedAtMs = performance.now();
    while (!(await readReadiness()).includes('"draining":true')) {
      assert.ok(performance.now() - startedAtMs < RELOAD_TIMEOUT_MS);
      await delay(POLL_MS);
    }
    assert.match(await readReadiness(), /^503 /);
    assert.equal(await daemon.exited, 1);
    assert.ok(performance.now() - startedAtMs >= SHORT_LAG_MS);
  } finally {
    client.close();
    hostList.close();
  }
});
