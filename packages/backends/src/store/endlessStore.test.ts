import assert from 'node:assert/strict';
import net, { type AddressInfo, type Socket } from 'node:net';
import { test } from 'node:test';
import createStoreClient from './createStoreClient.js';

const BEGIN_MS = 400;
/** The largest answer, and what lies in the buffers of two sockets. */
const MAX_TAKEN_BYTES = 32 * 1_048_576;
const FILLER = Buffer.alloc(65_536, 'x');

/** Runs a test against a store that sends a head and then bytes without end. */
const withEndlessStore = async (head: string, run: (port: number, taken: () => number) => Promise<void>) => {
  const sockets = new Set<Socket>();
  let takenBytes = 0;
  const server = net.createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write(head);
      const send = (): void => {
        if (!socket.destroyed) {
          socket.write(FILLER, () => {
            takenBytes += FILLER.length;
            setImmediate(send);
          });
        }
      };
      send();
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  try {
    await run((server.address() as AddressInfo).port, () => takenBytes);
    assert.ok(
      [...sockets].every(({ destroyed }) => destroyed),
      'a connection is still open',
    );
  } finally {
    server.close();
    sockets.forEach((socket) => socket.destroy());
  }
};

(
  [
    ['bytes that are no answer', ''],
    ['a header', 'HTTP/1.1 200 OK\r\nX-Endless: '],
    ['a body of a stated length', 'HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n'],
    ['a body without a length', 'HTTP/1.1 200 OK\r\n\r\n'],
  ] as const
).forEach(([name, head]) =>
  test(`a call to a store that sends ${name} without end fails with bounded time and memory`, () =>
    withEndlessStore(head, async (port, taken) => {
      const client = createStoreClient({ urls: [`http://127.0.0.1:${port}`], timeoutMs: BEGIN_MS });
      const startedAtMs = performance.now();
      await assert.rejects(client.get('key'));
      assert.ok(performance.now() - startedAtMs < 2_000);
      await new Promise((resolve) => {
        setTimeout(resolve, 100);
      });
      assert.ok(taken() < MAX_TAKEN_BYTES, `${taken()} bytes were taken`);
      client.close();
    })),
);
