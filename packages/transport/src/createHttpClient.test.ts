import assert from 'node:assert/strict';
import { once } from 'node:events';
import net from 'node:net';
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

test('an answer without a length that ends with a reset is cut, one that ends with a close is whole', async () => {
  const sockets: net.Socket[] = [];
  const server = net.createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.once('data', (head) => {
      socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart of a body');
      const end = (): unknown => (head.includes('/reset') ? socket.resetAndDestroy() : socket.end());
      // At once, so that the client finds the last bytes and the end together, or a moment later.
      if (head.includes('/late')) {
        setTimeout(end, 30);
      } else {
        setImmediate(end);
      }
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const client = createHttpClient();
  const target = { address: '127.0.0.1', port: (server.address() as net.AddressInfo).port };
  for (const path of ['/close', '/close/late']) {
    assert.equal((await client.send(target, { method: 'GET', path })).body, 'part of a body');
  }
  for (const path of ['/reset', '/reset/late']) {
    await assert.rejects(client.send(target, { method: 'GET', path }), { code: 'connection-lost' });
  }
  client.close();
  sockets.forEach((socket) => socket.destroy());
  server.close();
});
