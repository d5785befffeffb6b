import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createManualClock } from '@bergamotcove/clock';
import createStreamOrigins, { type StreamOriginsOptions } from './createStreamOrigins.js';
import { formatAgreed } from './originTexts.js';

const V1 = { pool: 'lm', softwareVersion: 'v1' };

const settle = async (): Promise<void> => {
  for (let nth = 0; nth < 20; nth += 1) {
    await Promise.resolve();
  }
};

test('agreed origins that a restored store lacks are written again', async () => {
  const clock = createManualClock();
  const timeoutMs = 2_000;
  const readRoute = () => ({
    name: 'chat',
    kind: 'stream',
    resumable: true,
    timeoutMs,
    pools: [{ pool: 'lm', weight: 1 }],
  });
  let value = '';
  const listed = [V1];
  const options = {
    clock,
    logger: { event: () => undefined },
    metrics: { report: () => undefined },
    eras: { onEvent: () => undefined },
    directory: { list: () => listed },
    tables: { current: () => ({ table: { routes: [readRoute()] } }) },
    format: { agreedOriginsKey: 'agreed', streamPrefix: 'streams/', serverPrefix: 'servers/', readServer: () => V1 },
    store: {
      get: (key: string) => Promise.resolve(key === 'agreed' && value !== '' ? { value, modRevision: '1' } : undefined),
      range: () => Promise.resolve({ entries: [{ key: 'servers/s2', value: '' }] }),
      txn: (_: unknown, [put]: readonly { readonly value: string }[]) => {
        value = put?.value ?? '';
        return Promise.resolve({ succeeded: true });
      },
    },
  } as unknown as StreamOriginsOptions;
  const owner = createStreamOrigins(options);
  owner.putAgreed(formatAgreed(new Map([['chat', V1]])));
  const self = { hostId: 'h0' };
  owner.start({ self, rankOwners: () => [self] } as unknown as Parameters<typeof owner.start>[0]);
  clock.advance(1_000);
  await settle();
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
