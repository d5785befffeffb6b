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
      readEra: () => 0,
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

test('the first poll does not wait, and each further one starts at the revision of the previous answer', async () => {
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

test('a store that does not answer the first poll is detected within a second', async () => {
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

test('frequent changes arrive in few answers, and after a quiet period the next poll is sent immediately', async () => {
  const client = createHttpClient();
  let revision = 5;
  let answeredAtMs = 0;
  const calls: { readonly atMs: number; readonly afterMs: number }[] = [];
  const answer = (response: http.ServerResponse): void => {
    revision += 1;
    answeredAtMs = Date.now();
    const events = [{ type: 'delete', key: 'a', revision: String(revision) }];
    response.end(JSON.stringify({ events, revision: String(revision) }));
  };
  await withStore(
    (_, response) => {
      const nowMs = Date.now();
      calls.push({ atMs: nowMs, afterMs: nowMs - answeredAtMs });
      // In the first second changes are continuous; after that, each one follows two quiet seconds.
      const isQuiet = nowMs - (calls[0]?.atMs ?? nowMs) > 1_000;
      setTimeout(() => answer(response), isQuiet ? 2_000 : 0);
    },
    async (port) => {
      const subscription = watch(port, client).subscribe();
      await new Promise((resolve) => {
        setTimeout(resolve, 6_000);
      });
      subscription.unsubscribe();
      const startedAtMs = calls[0]?.atMs ?? 0;
      const early = calls.filter(({ atMs }) => atMs - startedAtMs <= 1_000).length;
      assert.ok(early >= 3 && early <= 6, `${early} calls in the first second`);
      const gapsMs = calls.filter(({ atMs }) => atMs - startedAtMs > 3_000).map(({ afterMs }) => afterMs);
      assert.ok(gapsMs.length >= 1 && Math.max(...gapsMs) < 400, `polled again after ${gapsMs.join(', ')} ms`);
    },
  );
  client.close();
});

test('a large answer whose headers arrive in time may take longer to arrive completely', async () => {
  const client = createHttpClient();
  await withStore(
    (_, response) => {
      const text = JSON.stringify({ events: [{ type: 'delete', key: 'a', revision: '8' }], revision: '8' });
      response.write(text.slice(0, 5));
      setTimeout(() => response.end(text.slice(5)), 1_200);
    },
    async (port) => {
      const event = await firstValueFrom(watch(port, client));
      assert.equal(event.type, 'delete');
    },
  );
  client.close();
});

test('history that exceeds the size of an answer fails as compacted, so that the entries are read afresh', async () => {
  const client = createHttpClient();
  await withStore(
    (_, response) => {
      response.end('x'.repeat(8 * 1_048_576 + 1));
    },
    async (port) => {
      await assert.rejects(firstValueFrom(watch(port, client)), { code: 'compacted' });
    },
  );
  client.close();
});
