import assert from 'node:assert/strict';
import net from 'node:net';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import createHttpServer, { sendJson, type HttpServer } from './createHttpServer.js';
import readBody from './readBody.js';

const ANSWER_MS = 300;

/** Sends parts to a server that answers after a while, 50 ms apart, and returns what was received, 200 ms after that. */
const exchange = async (
  parts: readonly string[],
  onSent?: (server: HttpServer, socket: net.Socket) => void,
): Promise<{ received: string; paths: readonly string[] }> => {
  const paths: string[] = [];
  const server = await createHttpServer(
    async ({ request, response, path }) => {
      await readBody(request);
      paths.push(path);
      await wait(ANSWER_MS);
      sendJson(response, 200, { path });
    },
    { address: '127.0.0.1', port: 0, onError: () => undefined },
  );
  const socket = net.connect({ port: server.port, host: '127.0.0.1', allowHalfOpen: true });
  let received = '';
  socket.on('data', (data) => {
    received += String(data);
  });
  socket.on('error', () => undefined);
  for (const part of parts) {
    socket.write(part);
    await wait(50);
  }
  onSent?.(server, socket);
  await wait(ANSWER_MS + 200);
  socket.destroy();
  server.abort();
  await server.close();
  return { received, paths };
};

const GET = 'GET /first HTTP/1.1\r\nHost: peer\r\n\r\n';
const POST = 'POST /second HTTP/1.1\r\nHost: peer\r\nTransfer-Encoding: chunked\r\n\r\n';

test('invalid bytes behind a request in flight do not put another answer in place of its own', async () => {
  const { received, paths } = await exchange([GET, '\0\r\n\r\n']);
  assert.match(received, /^HTTP\/1\.1 200 [^]*\{"path":"\/first"\}$/);
  assert.deepEqual(paths, ['/first']);
});

test('invalid bytes in a body are answered with 400, behind the answer to the request before', async () => {
  const { received, paths } = await exchange([GET, POST, 'x\r\n']);
  assert.match(received, /^HTTP\/1\.1 200 [^]*\{"path":"\/first"\}HTTP\/1\.1 400 /);
  assert.deepEqual(paths, ['/first']);
});

test('a server that closes after a standstill answers the request that waits unread, and ends the connection', async () => {
  let closed = false;
  const { received } = await exchange([GET, '', '', '', '', '', '', ''], (server, socket) => {
    socket.write(GET);
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 100);
    server.close().then(
      () => {
        closed = true;
      },
      () => undefined,
    );
  });
  assert.equal([...received.matchAll(/HTTP\/1\.1 200 /g)].length, 2);
  assert.equal(closed, true);
});
