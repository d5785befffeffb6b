import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createManualClock } from '@bergamotcove/clock';
import { createHttpClient } from '@bergamotcove/transport';
import serveJson, { StatusReply } from '../_lib/serveJson.js';
import startBalancer from './startBalancer.js';

test('a host that is not ready gets connections until ignoreDrainMs passes, as on the platform', async (context) => {
  const listen = { address: '127.0.0.1', port: 0 };
  let ready = true;
  const startHost = (id: string) =>
    serveJson(
      {
        'GET /readyz': () => (id === 'a' && !ready ? new StatusReply(503, {}) : {}),
        'GET /who': () => id,
      },
      listen,
    );
  const hosts = { a: await startHost('a'), b: await startHost('b') };
  const backends = Object.entries(hosts).map(([id, { port }]) => ({ id, address: '127.0.0.1', port }));
  const clock = createManualClock();
  const balancer = await startBalancer(listen, { clock, backends, checkMs: 10, ignoreDrainMs: 150 });
  const http = createHttpClient({ maxSockets: 1 });
  context.after(async () => {
    http.close();
    await balancer.close();
    await Promise.all([hosts.a.close(), hosts.b.close()]);
  });
  const requestHostNames = async (count: number): Promise<readonly string[]> => {
    const names: string[] = [];
    for (let index = 0; index < count; index += 1) {
      const request = { method: 'GET', path: '/who', headers: { connection: 'close' } } as const;
      names.push((await http.send({ address: '127.0.0.1', port: balancer.port }, request)).body);
    }
    return names;
  };
  // The balancer schedules its next readiness check only after all responses to the current one.
  const advance = async (deltaMs: number): Promise<void> => {
    clock.advance(deltaMs);
    while (clock.nextDueMs() === undefined) {
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  };
  assert.deepEqual(new Set(await requestHostNames(4)), new Set(['"a"', '"b"']));
  ready = false;
  await advance(10);
  await advance(140);
  assert.deepEqual(new Set(await requestHostNames(4)), new Set(['"a"', '"b"']));
  await advance(10);
  assert.deepEqual(new Set(await requestHostNames(4)), new Set(['"b"']));
});
