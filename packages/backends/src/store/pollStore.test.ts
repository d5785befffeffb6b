import assert from 'node:assert/strict';
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { firstValueFrom, take, toArray } from 'rxjs';
import { createHttpClient } from '@bergamotcove/transport';
import type { WatchEvent } from './types.js';
import pollStore from './pollStore.js';

type Answer = (path: string, response: http.ServerResponse) => void;

const withStore = async (answer: Answer, run: (port: number) => Promise<void>): Promise<void> => {
  const server = http.createServer((request, response) => answer(request.url ?? '', response));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  try {
    await run((server.address() as AddressInfo).port);
  } finally {
    server.close();
    server.closeAllConnections();
  }
};

const watch = (port: number, client: ReturnType<typeof createHttpClient>) =>
  pollStore(
    client,
    { address: '127.0.0.1', port },
    {
      prefix: '',
      fromRevision: '5',
      waitMs: 60_000,
      format: (after, waitMs) => ({
        method: 'GET',
        path: `/${after}/${waitMs}`,
        read: (_, body) => JSON.parse(body) as { readonly events: readonly WatchEvent[]; readonly revision: string },
      }),
    },
  );

test('begins with a call that does not wait, and goes on from each answer', async () => {
  const paths: string[] = [];
  const client = createHttpClient();
  await withStore(
    (path, response) => {
      paths.push(path);
      response.end(JSON.stringify({ events: [{ type: 'delete', key: 'a', revision: '8' }], revision: '8' }));
    },
    async (port) => {
      const events = await firstValueFrom(watch(port, client).pipe(take(3), toArray()));
      assert.deepEqual(
        events.map(({ type }) => type),
        ['delete', 'started', 'delete'],
      );
      assert.deepEqual(paths.slice(0, 2), ['/4/0', '/8/60000']);
    },
  );
  client.close();
});

test('a store that does not answer the first call is noticed within a second', async () => {
  const client = createHttpClient();
  await withStore(
    () => undefined,
    async (port) => {
      const beganAtMs = Date.now();
      await assert.rejects(firstValueFrom(watch(port, client)));
      assert.ok(Date.now() - beganAtMs < 1_000);
    },
  );
  client.close();
});
