import { once } from 'node:events';
import net, { type AddressInfo, type Socket } from 'node:net';
import endUntilClosed from './endUntilClosed.js';
import holdEnd from './holdEnd.js';

const LOOPBACK = '127.0.0.1';
const CONNECT_LIMIT_MS = 1_000;

/** Waits until the other side of a connection has ended, and keeps its descriptor open; rejects when it breaks. */
const awaitEnd = (socket: Socket): Promise<void> =>
  new Promise((resolve, reject) => {
    holdEnd(socket, async () => {
      resolve();
      await once(socket, 'close');
    });
    socket.setTimeout(CONNECT_LIMIT_MS, () => socket.destroy());
    socket.once('error', reject);
    socket.once('close', () => reject(new Error('the connection was closed')));
    socket.resume();
  });

const tryOwnConnection = async (): Promise<boolean> => {
  const server = net.createServer((socket) => {
    socket.on('error', () => undefined);
    socket.end();
    socket.resume();
  });
  // A process without free descriptors cannot accept; the connection then ends by its time limit.
  server.on('error', () => undefined);
  try {
    server.listen(0, LOOPBACK);
    await once(server, 'listening');
    const socket = net.connect({ port: (server.address() as AddressInfo).port, host: LOOPBACK });
    await awaitEnd(socket);
    const isShown = await endUntilClosed(socket);
    socket.destroy();
    return isShown;
  } finally {
    server.close();
  }
};

let result: Promise<boolean> | undefined;

/**
 * Finds out whether `endUntilClosed` works on this system, on a connection of this process to itself. Only the first
 * call tries it, unless the connection fails.
 *
 * @returns false when the closed state is not shown, or the connection failed
 */
export default function showsClosedState(): Promise<boolean> {
  result ??= tryOwnConnection().catch(() => {
    result = undefined;
    return false;
  });
  return result;
}
