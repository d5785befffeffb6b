import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createManualClock } from '@bergamotcove/clock';
import createStreamOrigins, { type StreamOriginsOptions } from './createStreamOrigins.js';
import { formatAgreed } from './originTexts.js';

const V1 = { pool: 'lm', softwareVersion: 'v1' };
const V2 = { pool: 'lm', softwareVersion: 'v2' };

const settle = async (): Promise<void> => {
  for (let nth = 0; nth < 20; nth += 1) {
    await Promise.resolve();
  }
};

test('agreed origins are kept for the life of the streams that began before the timeout of a route was lowered', async () => {
  const clock = createManualClock();
  let timeoutMs = 60_000;
  const readRoute = () => ({
    name: 'chat',
    kind: 'stream',
    resumable: true,
    timeoutMs,
    pools: [{ pool: 'lm', weight: 1 }],
  });
  let value = formatAgreed(new Map([['chat', V1]]));
  const listed = [V1];
  const options = {
    clock,
    logger: { event: () => undefined },
    metrics: { report: () => undefined },
    eras: { onEvent: () => undefined },
    directory: { list: () => listed },
    tables: { current: () => ({ table: { routes: [readRoute()] } }) },
    format: { agreedOriginsKey: 'agreed', streamPrefix: 'streams/', serverPrefix: 'servers/', readServer: () => V2 },
    store: {
      get: (key: string) => Promise.resolve(key === 'agreed' ? { value, modRevision: '1' } : undefined),
      range: () => Promise.resolve({ entries: [{ key: 'servers/s2', value: '' }] }),
      txn: (_: unknown, [put]: readonly { readonly value: string }[]) => {
        value = put?.value ?? '';
        return Promise.resolve({ succeeded: true });
      },
    },
  } as unknown as StreamOriginsOptions;
  const owner = createStreamOrigins(options);
  owner.putAgreed(value);
  const self = { hostId: 'h0' };
  owner.start({ self, rankOwners: () => [self] } as unknown as Parameters<typeof owner.start>[0]);
  clock.advance(1_000);
  await settle();
  // A stream begins at v1 now, without a record, and may last for 60 s. Its route gets a shorter timeout, and v1 leaves.
  timeoutMs = 2_000;
  listed.splice(0, 1, V2);
  for (let second = 0; second < 20; second += 1) {
    clock.advance(1_000);
    await settle();
  }
  const found = await createStreamOrigins(options).find(
    readRoute() as unknown as Parameters<typeof owner.find>[0],
    'one',
  );
  owner.close();
  assert.deepEqual(found, { type: 'known', origin: V1, source: 'agreed' });
});

test('a host that takes the agreement over knows the longer timeouts of before', async () => {
  const clock = createManualClock();
  let timeoutMs = 60_000;
  const readRoute = () => ({
    name: 'chat',
    kind: 'stream',
    resumable: true,
    timeoutMs,
    pools: [{ pool: 'lm', weight: 1 }],
  });
  let value = formatAgreed(new Map([['chat', V1]]));
  const listed = [V1];
  const options = {
    clock,
    logger: { event: () => undefined },
    metrics: { report: () => undefined },
    eras: { onEvent: () => undefined },
    directory: { list: () => listed },
    tables: { current: () => ({ table: { routes: [readRoute()] } }) },
    format: { agreedOriginsKey: 'agreed', streamPrefix: 'streams/', serverPrefix: 'servers/', readServer: () => V2 },
    store: {
      get: (key: string) => Promise.resolve(key === 'agreed' ? { value, modRevision: '1' } : undefined),
      range: () => Promise.resolve({ entries: [{ key: 'servers/s2', value: '' }] }),
      txn: (_: unknown, [put]: readonly { readonly value: string }[]) => {
        value = put?.value ?? '';
        return Promise.resolve({ succeeded: true });
      },
    },
  } as unknown as StreamOriginsOptions;
  const owner = createStreamOrigins(options);
  owner.putAgreed(value);
  const self = { hostId: 'h0' };
  let owners = [{ hostId: 'h1' }];
  owner.start({ self, rankOwners: () => owners } as unknown as Parameters<typeof owner.start>[0]);
  clock.advance(1_000);
  await settle();
  // A stream begins at v1 now, without a record, and may last for 60 s. Its route gets a shorter timeout, and v1 leaves.
  timeoutMs = 2_000;
  owners = [self];
  listed.splice(0, 1, V2);
  for (let second = 0; second < 20; second += 1) {
    clock.advance(1_000);
    await settle();
  }
  const found = await createStreamOrigins(options).find(
    readRoute() as unknown as Parameters<typeof owner.find>[0],
    'one',
  );
  owner.close();
  assert.deepEqual(found, { type: 'known', origin: V1, source: 'agreed' });
});
