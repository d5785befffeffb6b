import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { createSystemClock } from '@bergamotcove/clock';
import { createHttpClient, TransportError } from '@bergamotcove/transport';
import startStore, { type StoreOptions } from './startStore.js';

const encode = (text: string): string => Buffer.from(text).toString('base64');

const open = async (context: TestContext, options: Partial<StoreOptions> = {}) => {
  const store = await startStore({ address: '127.0.0.1', port: 0 }, { clock: createSystemClock(), ...options });
  const http = createHttpClient();
  context.after(async () => {
    http.close();
    await store.close();
  });
  const target = { address: '127.0.0.1', port: store.port };
  const post = (path: string, body: object) =>
    http.send(target, { method: 'POST', path, body: JSON.stringify(body), signal: AbortSignal.timeout(2_000) });
  const put = async (key: string, value = 'v', createOnly = false) => {
    const compare = createOnly ? [{ key: encode(key), target: 'CREATE', result: 'EQUAL', create_revision: '0' }] : [];
    const success = [{ request_put: { key: encode(key), value: encode(value) } }];
    const response = await post('/v3/kv/txn', { compare, success });
    return response.status === 200 && (JSON.parse(response.body) as { succeeded: boolean }).succeeded;
  };
  const list = async (from: string, to: string): Promise<readonly string[]> => {
    const response = await post('/v3/kv/range', { key: encode(from), range_end: encode(to) });
    const { kvs } = JSON.parse(response.body) as { kvs: { key: string }[] };
    return kvs.map(({ key }) => Buffer.from(key, 'base64').toString());
  };
  return { store, target, http, post, put, list };
};

test('only the first create-only write succeeds and ranges are sorted, as claims require', async (context) => {
  const { put, list } = await open(context);
  assert.deepEqual([await put('b', '1', true), await put('b', '2', true), await put('a')], [true, false, true]);
  assert.deepEqual(await list('a', 'c'), ['a', 'b']);
});

test('reply-lost drops the connection after the write has taken effect', async (context) => {
  const { store, put, list } = await open(context);
  store.setFaults([{ type: 'reply-lost', times: 1 }]);
  await assert.rejects(put('k'), (error: unknown) => error instanceof TransportError);
  assert.deepEqual(await list('a', 'z'), ['k']);
});

test('down prevents writes, lost-writes only confirms them, stale-reads hides later ones', async (context) => {
  const { store, put, list } = await open(context);
  store.setFaults([{ type: 'down', writePrefix: '/x', times: 1 }]);
  await assert.rejects(put('/x/1'));
  store.setFaults([{ type: 'lost-writes', times: 1 }]);
  assert.equal(await put('/x/2'), true);
  store.setFaults([{ type: 'stale-reads' }]);
  await put('/x/3');
  assert.deepEqual(await list('/x', '/y'), []);
  store.setFaults([]);
  assert.deepEqual(await list('/x', '/y'), ['/x/3']);
});

test('calls above the rate limit are rejected, and every call is counted by kind', async (context) => {
  const { store, post, put } = await open(context, { callsPerSecond: 2 });
  await put('a');
  await put('b');
  const rejected = await post('/v3/kv/range', { key: encode('a') });
  assert.equal(rejected.status, 429);
  assert.deepEqual(store.counters(), { txn: 2, range: 1 });
});

test('a watch that starts before the kept history is cancelled, so that no change is missed', async (context) => {
  const { http, target, post } = await open(context);
  const success = Array.from({ length: 15_000 }, (_, index) => ({ request_put: { key: encode(`k${index}`) } }));
  await post('/v3/kv/txn', { success });
  await post('/v3/kv/txn', { success });
  const body = JSON.stringify({ create_request: { key: encode('k'), range_end: encode('l'), start_revision: '2' } });
  const response = await http.send(target, { method: 'POST', path: '/v3/watch', body });
  assert.match(response.body, /"canceled":true/);
});

test('an expired lease deletes its keys, so that a paused holder loses them', async (context) => {
  const { post, list } = await open(context);
  const { ID } = JSON.parse((await post('/v3/lease/grant', { TTL: '0.05' })).body) as { ID: string };
  await post('/v3/kv/txn', { success: [{ request_put: { key: encode('held'), value: '', lease: ID } }] });
  assert.deepEqual(await list('h', 'i'), ['held']);
  await new Promise((resolve) => {
    setTimeout(resolve, 100);
  });
  assert.deepEqual(await list('h', 'i'), []);
  const { result } = JSON.parse((await post('/v3/lease/keepalive', { ID })).body) as { result: { TTL: string } };
  assert.equal(result.TTL, '0');
});
