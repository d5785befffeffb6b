import assert from 'node:assert/strict';
import net from 'node:net';
import { test } from 'node:test';
import { createSystemClock } from '@bergamotcove/clock';
import createLinkClient from './createLinkClient.js';
import { MAX_LINE_BYTES } from './createLineReader.js';
import createLinkServer, { type LinkMethod } from './createLinkServer.js';

const LIMITS = { clock: createSystemClock(), connectLimitMs: 300, pingMs: 30, silenceLimitMs: 120 };

const NEVER_SETTLED = new Promise(() => {
  // Never answered.
});

const startServer = (methods: Record<string, LinkMethod>) =>
  createLinkServer({ address: '127.0.0.1', port: 0, methods, onError: () => undefined });

test('calls over one link may be answered out of order', async () => {
  const server = await startServer({
    wait: async (params) => {
      const { ms } = params as { ms: number };
      await new Promise((resolve) => {
        setTimeout(resolve, ms);
      });
      return ms;
    },
  });
  const client = createLinkClient(LIMITS);
  const target = { address: '127.0.0.1', port: server.port };
  const order: unknown[] = [];
  await Promise.all(
    [60, 1].map(async (ms) => {
      order.push(await client.call(target, 'wait', { ms }));
    }),
  );
  assert.deepEqual(order, [1, 60]);
  client.close();
  server.close();
});

test('a call that takes longer than the silence limit succeeds if the peer answers pings', async () => {
  const server = await startServer({
    slow: () =>
      new Promise((resolve) => {
        setTimeout(() => resolve('done'), 400);
      }),
  });
  const client = createLinkClient(LIMITS);
  assert.equal(await client.call({ address: '127.0.0.1', port: server.port }, 'slow', {}), 'done');
  client.close();
  server.close();
});

test('a call on a link on which nothing arrives fails with connection-lost', async () => {
  const sockets: net.Socket[] = [];
  const silent = net.createServer((socket) => sockets.push(socket));
  await new Promise<void>((resolve) => {
    silent.listen(0, '127.0.0.1', resolve);
  });
  const client = createLinkClient(LIMITS);
  const { port } = silent.address() as net.AddressInfo;
  await assert.rejects(client.call({ address: '127.0.0.1', port }, 'any', {}), { code: 'connection-lost' });
  client.close();
  sockets.forEach((socket) => socket.destroy());
  silent.close();
});

test('a call to a port without a listener fails with not-connected', async () => {
  const server = await startServer({});
  const { port } = server;
  server.close();
  const client = createLinkClient(LIMITS);
  await assert.rejects(client.call({ address: '127.0.0.1', port }, 'any', {}), { code: 'not-connected' });
  client.close();
});

test('the server is notified when a link closes, so that it can drop work whose answer cannot be delivered', async () => {
  let noteClosed: () => void = () => undefined;
  const closed = new Promise<void>((resolve) => {
    noteClosed = resolve;
  });
  const server = await startServer({
    hold: (_, peer) => {
      peer.onClose(noteClosed);
      return closed.then(() => NEVER_SETTLED);
    },
  });
  const client = createLinkClient(LIMITS);
  const call = client.call({ address: '127.0.0.1', port: server.port }, 'hold', {});
  const lost = assert.rejects(call, { code: 'connection-lost' });
  setTimeout(() => client.close(), 50);
  await closed;
  await lost;
  server.close();
});

test('a link to a peer that sends an endless line is closed at the size limit of a line', async () => {
  const filler = Buffer.alloc(65_536, 'x');
  let writtenBytes = 0;
  let dropped = false;
  const endless = net.createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('close', () => {
      dropped = true;
    });
    const send = (): void => {
      if (!socket.destroyed) {
        socket.write(filler, () => {
          writtenBytes += filler.length;
          setImmediate(send);
        });
      }
    };
    send();
  });
  await new Promise<void>((resolve) => {
    endless.listen(0, '127.0.0.1', resolve);
  });
  const client = createLinkClient(LIMITS);
  const { port } = endless.address() as net.AddressInfo;
  await assert.rejects(client.call({ address: '127.0.0.1', port }, 'ask', {}), { code: 'connection-lost' });
  await new Promise((resolve) => {
    setTimeout(resolve, 100);
  });
  assert.ok(dropped);
  assert.ok(writtenBytes < 2 * MAX_LINE_BYTES, `${writtenBytes} bytes were written`);
  client.close();
  endless.close();
});

/** Calls a peer that answers pings, and each call with a line of its own. */
const callWrongPeer = async (formatLine: (id: number) => string): Promise<unknown> => {
  const sockets: net.Socket[] = [];
  const peer = net.createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', (chunk) =>
      chunk
        .toString('utf8')
        .split('\n')
        .filter((line) => line !== '')
        .forEach((line) => {
          const { id, method } = JSON.parse(line) as { readonly id: number; readonly method: string };
          socket.write(method === 'ping' ? `{"jsonrpc":"2.0","id":${id},"result":true}\n` : `${formatLine(id)}\n`);
        }),
    );
  });
  await new Promise<void>((resolve) => {
    peer.listen(0, '127.0.0.1', resolve);
  });
  const client = createLinkClient(LIMITS);
  const { port } = peer.address() as net.AddressInfo;
  try {
    return await client.call({ address: '127.0.0.1', port }, 'any', {});
  } finally {
    client.close();
    sockets.forEach((socket) => socket.destroy());
    peer.close();
  }
};

[
  'HTTP/1.1 200 OK',
  '{',
  'null',
  '5',
  '[]',
  '[null]',
  '{}',
  '{"jsonrpc":"2.0","result":1}',
  '{"jsonrpc":"2.0","id":{},"result":1}',
  '{"jsonrpc":"2.0","id":999,"result":1}',
  `{"id":${'['.repeat(100_000)}${']'.repeat(100_000)}}`,
].forEach((line) =>
  test(`a call fails when the peer sends ${line.slice(0, 40)}, although it answers pings`, () =>
    assert.rejects(
      callWrongPeer(() => line),
      { code: 'connection-lost' },
    )),
);

test('a call fails when its answer has neither a result nor an error, or an error of another shape', async () => {
  for (const rest of ['', ',"error":null', ',"error":5', ',"error":{}', ',"error":{"code":"x","message":"%s %d"}']) {
    await assert.rejects(
      callWrongPeer((id) => `{"jsonrpc":"2.0","id":${id}${rest}}`),
      { code: 'invalid-message' },
    );
  }
});

test('a call to a port out of range fails with not-connected', async () => {
  const client = createLinkClient(LIMITS);
  await assert.rejects(client.call({ address: '127.0.0.1', port: 99_999 }, 'any', {}), { code: 'not-connected' });
  client.close();
});
