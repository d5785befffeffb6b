import assert from 'node:assert/strict';
import net, { type AddressInfo, type Socket } from 'node:net';
import { test } from 'node:test';
import createStoreClient from './createStoreClient.js';

const TIMEOUT_MS = 400;
/** Size limit of an answer, plus the buffers of two sockets. */
const MAX_WRITTEN_BYTES = 32 * 1_048_576;
const FILLER = Buffer.alloc(65_536, 'x');

/** Runs a test against a store that sends the head of an answer and then an endless stream of bytes. */
const withEndlessStore = async (head: string, run: (port: number, getWrittenBytes: () => number) => Promise<void>) => {
  const sockets = new Set<Socket>();
  let writtenBytes = 0;
  const server = net.createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write(head);
      const send = (): void => {
        if (!socket.destroyed) {
          socket.write(FILLER, () => {
            writtenBytes += FILLER.length;
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
    await run((server.address() as AddressInfo).port, () => writtenBytes);
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
    ['bytes that are not an answer', ''],
    ['a header', 'HTTP/1.1 200 OK\r\nX-Endless: '],
    ['a body of a stated length', 'HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n'],
    ['a body without a length', 'HTTP/1.1 200 OK\r\n\r\n'],
  ] as const
).forEach(([name, head]) =>
  test(`a call to a store that sends ${name} without end fails with bounded time and memory`, () =>
    withEndlessStore(head, async (port, getWrittenBytes) => {
      const client = createStoreClient({ urls: [`http://127.0.0.1:${port}`], timeoutMs: TIMEOUT_MS });
      const startedAtMs = performance.now();
      await assert.rejects(client.get('key'));
      assert.ok(performance.now() - startedAtMs < 2_000);
      await new Promise((resolve) => {
        setTimeout(resolve, 100);
      });
      assert.ok(getWrittenBytes() < MAX_WRITTEN_BYTES, `${getWrittenBytes()} bytes were written`);
      client.close();
    })),
);
