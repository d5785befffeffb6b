import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createSystemClock } from '@bergamotcove/clock';
import { parseServiceDocument, parseWith, settingsSchema } from '@bergamotcove/config';
import { startEntryHost, type EntryHost } from '@bergamotcove/entry';
import { acceptDocument, createStoreClient } from '@bergamotcove/backends';
import { startEngine, startHostList, startStore, type Standin } from '@bergamotcove/standins';
import { createHttpClient } from '@bergamotcove/transport';

const LISTEN = { address: '127.0.0.1', port: 0 };
const LOCATION = { failureDomain: 'd1', region: 'r1' };
const WAIT_MS = 10_000;
const POLL_MS = 100;

interface EngineState {
  readonly models: Readonly<Record<string, string>>;
  readonly highestFencingNumber: number;
}

const createDocument = (modelVersion: string) =>
  parseServiceDocument(
    {
      service: 'draft',
      team: 'bench',
      deadlineMs: 3_000,
      stages: ['generate', 'encode', 'retrieve'].map((kind) => ({
        name: kind,
        kind,
        pool: kind,
        ...(kind === 'generate' ? { model: 'base', modelVersion } : {}),
      })),
      operations: [{ name: 'draft', idempotent: true, priority: 'draft' }],
      organisations: { default: { requestsPerSecond: 10, tokensPerSecond: 1_000 } },
    },
    { source: 'test' },
  );

const startHost = (id: string, ports: { readonly store: number; readonly hosts: number }): Promise<EntryHost> =>
  startEntryHost(
    parseWith(
      settingsSchema,
      {
        host: { id, address: LISTEN.address, ...LOCATION },
        callers: { port: 0 },
        peers: { port: 0, keys: [{ id: 'k', secret: 'planner-test-secret' }] },
        store: { urls: [`http://127.0.0.1:${ports.store}`] },
        hostList: { url: `http://127.0.0.1:${ports.hosts}/v1/hosts`, pollMs: 100 },
        drain: { balancerLagMs: 0, timeoutMs: 1_000 },
        planner: {},
      },
      { source: 'test' },
    ),
  );

const readStates = async (engines: readonly Standin[]): Promise<readonly EngineState[]> => {
  const http = createHttpClient();
  const answers = await Promise.all(
    engines.map(({ port }) => http.send({ address: LISTEN.address, port }, { method: 'GET', path: '/orders/state' })),
  );
  http.close();
  return answers.map(({ body }) => JSON.parse(body) as EngineState);
};

const waitForVersion = async (engines: readonly Standin[], version: string): Promise<readonly EngineState[]> => {
  const endMs = performance.now() + WAIT_MS;
  for (;;) {
    const states = await readStates(engines);
    if (states.every(({ models }) => models.base === version)) {
      return states;
    }
    assert.ok(performance.now() < endMs, `engines did not reach version ${version}: ${JSON.stringify(states)}`);
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
  }
};

test('engines load the model version of the service document, also after the planning host was drained', async () => {
  const clock = createSystemClock();
  const store = await startStore(LISTEN, { clock });
  const engines = await Promise.all(
    ['e0', 'e1'].map((serverId) => startEngine(LISTEN, { clock, serverId, tokenMs: 1, tokensPerAnswer: 1 })),
  );
  const hostList = await startHostList(LISTEN, {
    hosts: engines.map(({ port }, index) => ({
      id: `e${index}`,
      role: 'server' as const,
      address: LISTEN.address,
      port,
      pool: 'generate',
      ...LOCATION,
    })),
  });
  const client = createStoreClient({ urls: [`http://127.0.0.1:${store.port}`], timeoutMs: 1_000 });
  const accept = (changeId: string, modelVersion: string) =>
    acceptDocument(client, createDocument(modelVersion), {
      changeId,
      acceptedBy: 'test',
      acceptedAtMs: clock.wallMs(),
    });
  await accept('c1', '1');
  const ports = { store: store.port, hosts: hostList.port };
  const first = await startHost('h1', ports);
  const before = await waitForVersion(engines, '1');
  await first.drain();
  const second = await startHost('h2', ports);
  await accept('c2', '2');
  const after = await waitForVersion(engines, '2');
  assert.ok(
    Math.min(...after.map((state) => state.highestFencingNumber)) >
      Math.max(...before.map((state) => state.highestFencingNumber)),
  );
  client.close();
  await second.close();
  await Promise.all([...engines, hostList, store].map((standin) => standin.close()));
});
