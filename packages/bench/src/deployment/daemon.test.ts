import assert from 'node:assert/strict';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { after, before, test } from 'node:test';
import { createSystemClock } from '@bergamotcove/clock';
import { createHttpClient, createPeerAuth, createPeerClient, type PeerKey } from '@bergamotcove/transport';
import { builtScript } from './paths.js';
import startProcess, { type BenchProcess } from './startProcess.js';

const ADDRESS = '127.0.0.1';
const OLD_KEY: PeerKey = { id: 'k1', secret: 'old-secret-of-the-test' };
const NEW_KEY: PeerKey = { id: 'k2', secret: 'new-secret-of-the-test' };
const BALANCER_LAG_MS = 20_000;
const RELOAD_MS = 3_000;
const STEP_MS = 50;

let directory = '';
let platform: readonly BenchProcess[] = [];

const startStandin = (kind: 'store' | 'host-list'): Promise<BenchProcess> =>
  startProcess(kind, [builtScript('standins', 'main.js'), JSON.stringify({ kind, address: ADDRESS, port: 0 })]);

before(async () => {
  directory = mkdtempSync(path.join(tmpdir(), 'bergamot-daemon-'));
  platform = await Promise.all([startStandin('store'), startStandin('host-list')]);
});

after(async () => {
  platform.forEach((process) => process.signal('SIGTERM'));
  await Promise.all(platform.map(({ exited }) => exited));
  rmSync(directory, { recursive: true });
});

const writeSettings = (file: string, keys: readonly PeerKey[]): void => {
  const [store, hostList] = platform.map(({ ready }) => `http://${ADDRESS}:${String(ready.port)}`);
  const settings = {
    host: { id: 'entry-0', address: ADDRESS, failureDomain: 'd1', region: 'r1' },
    callers: { port: 0 },
    peers: { port: 0, keys },
    store: { urls: [store] },
    hostList: { url: `${hostList}/v1/hosts`, pollMs: 200 },
    drain: { balancerLagMs: BALANCER_LAG_MS, timeoutMs: BALANCER_LAG_MS },
    log: { namespaces: '' },
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
const accepts = async (daemon: BenchProcess, key: PeerKey): Promise<boolean> => {
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
  const endMs = performance.now() + RELOAD_MS;
  while (performance.now() < endMs) {
    if (await accepts(daemon, key)) {
      return true;
    }
    await delay(STEP_MS);
  }
  return false;
};

test('SIGHUP takes new peer keys and keeps the old ones when the file is wrong, so that no host is cut off', async () => {
  const { file, daemon } = await startDaemon('reload');
  assert.equal(await accepts(daemon, OLD_KEY), true);
  assert.equal(await accepts(daemon, NEW_KEY), false);
  writeSettings(file, [NEW_KEY]);
  daemon.signal('SIGHUP');
  assert.equal(await waitUntilAccepted(daemon, NEW_KEY), true);
  assert.equal(await accepts(daemon, OLD_KEY), false);
  writeFileSync(file, '{ "peers": ');
  daemon.signal('SIGHUP');
  await delay(STEP_MS * 4);
  assert.equal(await accepts(daemon, NEW_KEY), true);
  daemon.signal('SIGKILL');
  await daemon.exited;
});

test('a second signal ends a planned stop at once with code 1, so that an operator is never stuck with a drain', async () => {
  const { daemon } = await startDaemon('stop');
  const startedAtMs = performance.now();
  daemon.signal('SIGTERM');
  await delay(STEP_MS * 4);
  daemon.signal('SIGTERM');
  assert.equal(await daemon.exited, 1);
  assert.ok(performance.now() - startedAtMs < BALANCER_LAG_MS / 2);
});

test('a daemon whose port was taken in between says so, so that a world draws another port', async () => {
  const [store] = platform;
  const file = path.join(directory, 'taken.json');
  writeSettings(file, [OLD_KEY]);
  const settings = JSON.parse(readFileSync(file, 'utf8')) as object;
  writeFileSync(file, JSON.stringify({ ...settings, callers: { port: store?.ready.port } }));
  const start = startProcess('taken', [builtScript('entry', 'main.js'), '--settings', file]);
  await assert.rejects(start, /EADDRINUSE/);
});

test('wrong settings end the daemon with code 2 before it listens, so that no half-configured host serves', async () => {
  const file = path.join(directory, 'wrong.json');
  writeFileSync(file, JSON.stringify({ host: { id: 'entry-0' } }));
  await assert.rejects(
    startProcess('wrong', [builtScript('entry', 'main.js'), '--settings', file]),
    /ended with code 2 before it was ready/,
  );
});
