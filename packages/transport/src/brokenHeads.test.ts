import assert from 'node:assert/strict';
import { test } from 'node:test';
import createHttpClient from './createHttpClient.js';
import TransportError from './TransportError.js';
import { createRawServer, listBrokenHeads } from './testing/index.js';

const SOUND = 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound';

listBrokenHeads().forEach(({ name, isInvalid, format }) =>
  test(`a client that gets ${name} ${isInvalid ? 'fails the request' : 'goes on'}, and serves the next one`, async () => {
    const server = await createRawServer(({ path }, socket) =>
      socket.write(path === '/sound' ? SOUND : format(''), 'latin1'),
    );
    const client = createHttpClient();
    const target = { address: '127.0.0.1', port: server.port };
    const get = (path: string, body?: string) =>
      client.send(target, { method: 'POST', path, ...(body === undefined ? {} : { body }) });
    try {
      const [small, large] = await Promise.allSettled([get('/broken'), get('/broken', 'b'.repeat(200_000))]);
      [small, large].forEach((result) => {
        assert.ok(result.status === 'fulfilled' ? !isInvalid : result.reason instanceof TransportError, result.status);
      });
      assert.equal((await get('/sound')).body, 'sound');
    } finally {
      client.close();
      server.close();
    }
  }),
);
