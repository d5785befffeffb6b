import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createLinkServer } from '@bergamotcove/transport';
import callHost from './callHost.js';

test('calls a method of a gateway over a link', async () => {
  const server = await createLinkServer({
    address: '127.0.0.1',
    port: 0,
    methods: {
      'operator.releasePoison': (params) => ({ released: (params as { fingerprint: string }).fingerprint === 'f' }),
    },
    onError: () => undefined,
  });
  const url = `link://127.0.0.1:${server.port}`;
  assert.deepEqual(await callHost(url, 'operator.releasePoison', { fingerprint: 'f' }, {}), { released: true });
  await assert.rejects(callHost(url, 'operator.none', {}, {}), { code: 'invalid-message' });
  server.close();
  await assert.rejects(callHost(url, 'operator.releasePoison', {}, {}), { code: 'not-connected' });
});
