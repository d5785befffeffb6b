import assert from 'node:assert/strict';
import { once } from 'node:events';
import net, { type AddressInfo, type Socket } from 'node:net';
import os from 'node:os';
import { test } from 'node:test';
import endUntilClosed from './endUntilClosed.js';
import holdEnd from './holdEnd.js';
import showsClosedState from './showsClosedState.js';

const ANSWER = 'answer';
/** The kernel takes all of it from the sender while the receiver reads nothing. */
const REQUEST = Buffer.alloc(2_000_000, 'x');

/** Sends a request, and ends this side once the server has ended its own. */
const sendAndEnd = async (host: string, serve: (socket: Socket) => void): Promise<boolean> => {
  const accepted: Socket[] = [];
  const server = net.createServer({ allowHalfOpen: true, pauseOnConnect: true }, (socket) => {
    accepted.push(socket);
    socket.on('error', () => undefined);
    serve(socket);
  });
  server.listen(0, host);
  await once(server, 'listening');
  const client = net.connect({ port: (server.address() as AddressInfo).port, host });
  try {
    const ended = new Promise<void>((resolve) => {
      holdEnd(client, async () => {
        resolve();
        await once(client, 'close');
      });
    });
    client.on('error', () => undefined);
    client.resume();
    client.write(REQUEST);
    await ended;
    return await endUntilClosed(client);
  } finally {
    [client, ...accepted].forEach((socket) => socket.destroy());
    server.close();
  }
};

/** Ends the answer of a server once it has read a part of the request. */
const answerAfter =
  (readBytes: number) =>
  (socket: Socket): void => {
    let bytes = 0;
    socket.on('data', (chunk) => {
      bytes += chunk.length;
      if (bytes >= readBytes && !socket.writableEnded) {
        socket.end(ANSWER);
        if (bytes < REQUEST.length) {
          socket.pause();
        }
      }
    });
    socket.resume();
  };

const LOOPBACK_ADDRESSES = Object.values(os.networkInterfaces())
  .flatMap((addresses = []) => addresses)
  .filter(({ internal }) => internal)
  .map(({ address }) => address);

LOOPBACK_ADDRESSES.forEach((host) => {
  test(`${host}: a connection whose server has read the request is closed`, async () => {
    assert.equal(await sendAndEnd(host, answerAfter(REQUEST.length)), true);
  });

  test(`${host}: a connection whose server has read a part of the request is not closed`, async () => {
    assert.equal(await sendAndEnd(host, answerAfter(1)), false);
  });

  test(`${host}: a connection whose server reads nothing is not closed`, async () => {
    assert.equal(await sendAndEnd(host, (socket) => socket.end(ANSWER)), false);
  });
});

test('a connection that was destroyed is not closed in order', async () => {
  assert.equal(await endUntilClosed(new net.Socket().destroy()), false);
});

test('the system shows when a connection is closed', { skip: process.platform !== 'linux' }, async () => {
  assert.equal(await showsClosedState(), true);
});
