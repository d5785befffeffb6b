import assert from 'node:assert/strict';
import net, { type AddressInfo } from 'node:net';
import { test } from 'node:test';
import createHttpClient from './createHttpClient.js';

/** Runs a test against a server that sends the same bytes on each connection. */
const withRawServer = async (bytes: string, run: (port: number) => Promise<void>): Promise<void> => {
  const server = net.createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => socket.write(bytes));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  try {
    await run((server.address() as AddressInfo).port);
  } finally {
    server.close();
  }
};

const send = async (port: number) => {
  const client = createHttpClient();
  const signal = AbortSignal.timeout(2_000);
  try {
    return await client.send({ address: '127.0.0.1', port }, { method: 'GET', path: '/', signal });
  } finally {
    client.close();
  }
};

const HEAD = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';

test('a response with a parse error in the same chunk as its headers fails immediately, not at the time limit', () =>
  withRawServer(`${HEAD}5;${'x'.repeat(65_536)}`, async (port) => {
    const startedAtMs = performance.now();
    await assert.rejects(send(port), { code: 'connection-lost' });
    assert.ok(performance.now() - startedAtMs < 500);
  }));

test('a complete response is delivered even if invalid bytes follow it', () =>
  withRawServer(`${HEAD}4\r\ndone\r\n0\r\n\r\n${'x'.repeat(65_536)}`, async (port) => {
    assert.equal((await send(port)).body, 'done');
  }));

test('a request to a server that sends too many informational responses fails immediately', () =>
  withRawServer('HTTP/1.1 102 Processing\r\n\r\n'.repeat(17), async (port) => {
    const startedAtMs = performance.now();
    await assert.rejects(send(port), { code: 'connection-lost' });
    assert.ok(performance.now() - startedAtMs < 500);
  }));
