import assert from 'node:assert/strict';
import { once } from 'node:events';
import { test } from 'node:test';
import createHttpClient from './createHttpClient.js';
import createHttpServer from './createHttpServer.js';

const LISTEN = { address: '127.0.0.1', port: 0, onError: () => undefined };

test('a cancelled request is closed on both sides, so that a hedge that lost stops costing the server', async () => {
  let seenClose: Promise<unknown> = Promise.resolve();
  let noteArrival: () => void = () => undefined;
  const arrived = new Promise<void>((resolve) => {
    noteArrival = resolve;
  });
  const server = await createHttpServer(({ response }) => {
    seenClose = once(response, 'close');
    noteArrival();
    return Promise.resolve();
  }, LISTEN);
  const client = createHttpClient();
  const abort = new AbortController();
  const target = { address: '127.0.0.1', port: server.port };
  const sent = client.send(target, { method: 'POST', path: '/', signal: abort.signal });
  await arrived;
  abort.abort();
  await assert.rejects(sent, { code: 'aborted' });
  await seenClose;
  client.close();
  server.abort();
  await server.close();
});

test('a request that is cancelled while its answer arrives is reported as cancelled, not as a broken server', async () => {
  const server = await createHttpServer(({ response }) => {
    response.write('half');
    return Promise.resolve();
  }, LISTEN);
  const client = createHttpClient();
  const abort = new AbortController();
  const target = { address: '127.0.0.1', port: server.port };
  const sent = client.send(target, { method: 'GET', path: '/', signal: abort.signal });
  setTimeout(() => abort.abort(), 50);
  await assert.rejects(sent, { code: 'aborted' });
  client.close();
  server.abort();
  await server.close();
});
