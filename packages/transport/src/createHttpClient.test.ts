import assert from 'node:assert/strict';
import { once } from 'node:events';
import http from 'node:http';
import net from 'node:net';
import { test } from 'node:test';
import createHttpClient from './createHttpClient.js';
import createHttpServer from './createHttpServer.js';

const LISTEN = { address: '127.0.0.1', port: 0, onError: () => undefined };

test('a cancelled request is closed on both sides, so that a hedged request that lost costs the server nothing more', async () => {
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

test('a request that is cancelled while its response arrives fails as aborted, not as a lost connection', async () => {
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

test('a response without a length is truncated if it ends with a reset, and complete if it ends with a close', async () => {
  const sockets: net.Socket[] = [];
  const server = net.createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.once('data', (head) => {
      socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart of a body');
      const end = (): unknown => (head.includes('/reset') ? socket.resetAndDestroy() : socket.end());
      // Immediately, so that the client finds the last bytes and the end together, or 30 ms later.
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

const BODILESS_ANSWERS = [
  { method: 'GET', head: 'HTTP/1.1 204 No Content\r\n\r\n' },
  { method: 'GET', head: 'HTTP/1.1 304 Not Modified\r\netag: "1"\r\n\r\n' },
  { method: 'HEAD', head: 'HTTP/1.1 200 OK\r\n\r\n' },
];

BODILESS_ANSWERS.forEach(({ method, head }) => {
  const name = `${method} ${head.slice('HTTP/1.1 '.length, head.indexOf('\r'))}`;
  test(`a response that cannot have a body leaves its connection reusable and adds no listeners to it (${name})`, async () => {
    const sockets = new Set<net.Socket>();
    const server = net.createServer((socket) => {
      sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('data', () => socket.write(head));
    });
    server.listen(0, LISTEN.address);
    await once(server, 'listening');
    const client = createHttpClient();
    const target = { address: LISTEN.address, port: (server.address() as net.AddressInfo).port };
    let listeners = 0;
    let connection: net.Socket | undefined;
    for (let sent = 0; sent < 3; sent += 1) {
      const response = await client.open(target, { method, path: '/' });
      connection = response.socket;
      listeners = connection.listenerCount('end');
      response.resume();
      await once(response, 'end');
      await new Promise(setImmediate);
    }
    const closed = once(connection as net.Socket, 'close');
    sockets.forEach((socket) => socket.end());
    await closed;
    client.close();
    server.close();
    sockets.forEach((socket) => socket.destroy());
    assert.ok(listeners <= 3, `${listeners} listeners for the end of the connection`);
    assert.equal(sockets.size, method === 'HEAD' ? 3 : 1, 'connections');
  });
});

/** Starts a server that answers each request with the number of its connection, and gives access to its connections. */
const startCountingServer = async (): Promise<{
  readonly target: { readonly address: string; readonly port: number };
  readonly sockets: readonly net.Socket[];
  readonly close: () => void;
}> => {
  const sockets: net.Socket[] = [];
  const server = net.createServer((socket) => {
    const nth = sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', () => socket.write(`HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n${nth}`));
  });
  server.listen(0, LISTEN.address);
  await once(server, 'listening');
  return {
    target: { address: LISTEN.address, port: (server.address() as net.AddressInfo).port },
    sockets,
    close: () => {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
};

const LATE_ANSWER = 'HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nlate';

const pause = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

test('bytes that arrive on an idle connection end it', async (context) => {
  const { target, sockets, close } = await startCountingServer();
  const client = createHttpClient();
  context.after(() => {
    client.close();
    close();
  });
  assert.equal((await client.send(target, { method: 'GET', path: '/' })).body, '1');
  await pause(20);
  sockets[0]?.write(LATE_ANSWER.slice(0, 10));
  await pause(50);
  assert.equal((await client.send(target, { method: 'GET', path: '/' })).body, '2');
  assert.equal((await client.send(target, { method: 'GET', path: '/' })).body, '2');
});

test('an answer that arrives before its request has left belongs to no request', async (context) => {
  const { target, sockets, close } = await startCountingServer();
  const client = createHttpClient();
  context.after(() => {
    client.close();
    close();
  });
  await client.send(target, { method: 'GET', path: '/' });
  let sent = false;
  const second = pause(20).then(() => {
    sockets[0]?.write(LATE_ANSWER);
    const onSending = (): void => {
      sent = true;
    };
    return client.send(target, { method: 'GET', path: '/', onSending });
  });
  await assert.rejects(second, { code: 'not-connected' });
  assert.equal(sent, false);
  assert.equal((await client.send(target, { method: 'GET', path: '/' })).body, '2');
});

// Guards against a request that counts as sent, or is sent, after its caller was told that it was not.
(['resetAndDestroy', 'end'] as const).forEach((end) =>
  test(`a request that failed as not connected is not sent any more (${end})`, async (context) => {
    const { target, sockets, close } = await startCountingServer();
    const client = createHttpClient();
    context.after(() => {
      client.close();
      close();
    });
    await client.send(target, { method: 'GET', path: '/' });
    const sends: string[] = [];
    const second = pause(20).then(() => {
      sockets[0]?.[end]();
      return client.send(target, { method: 'GET', path: '/', onSending: () => sends.push('late') });
    });
    await assert.rejects(second, { code: 'not-connected' });
    await pause(20);
    assert.deepEqual(sends, []);
  }),
);

test('a 100 Continue that arrived while this process was paused beyond the limit is read, and the request is sent', async (context) => {
  const LIMIT_MS = 100;
  const server = http.createServer();
  server.on('checkContinue', (request: http.IncomingMessage, response: http.ServerResponse) => {
    response.writeContinue();
    for (const endsAtMs = performance.now() + 2 * LIMIT_MS; performance.now() < endsAtMs;);
    request.resume().on('end', () => response.end('run'));
  });
  server.listen(0, LISTEN.address);
  await once(server, 'listening');
  const client = createHttpClient();
  context.after(() => {
    client.close();
    server.close();
  });
  const target = { address: LISTEN.address, port: (server.address() as net.AddressInfo).port };
  const call = { method: 'POST', path: '/', body: 'x', freshConnection: true, expectContinueMs: LIMIT_MS };
  assert.equal((await client.send(target, call)).body, 'run');
});
