import type { Socket } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';
import { getSystemErrorName } from 'node:util';

/** Longer than the first retransmission of a lost packet, which Linux sends after 200 ms at the earliest. */
const CLOSE_LIMIT_MS = 300;
const POLL_MS = 10;

/** Part of a socket's handle that asks the system for the other end; the socket's own property is cached. */
interface PeerHandle {
  readonly getpeername: (out: object) => number;
}

const isClosed = (socket: Socket): boolean => {
  const { _handle: handle } = socket as unknown as { readonly _handle: PeerHandle | null };
  const code = handle?.getpeername({}) ?? 0;
  return code < 0 && getSystemErrorName(code) === 'ENOTCONN';
};

const awaitClosed = async (socket: Socket, leftMs: number): Promise<boolean> => {
  if (isClosed(socket)) {
    return true;
  }
  if (socket.destroyed || leftMs <= 0) {
    return false;
  }
  await wait(POLL_MS);
  return awaitClosed(socket, leftMs - POLL_MS);
};

/**
 * Ends this side of a connection whose other side has ended, and waits until the system has closed the connection. The
 * system does so once the other side has acknowledged all bytes, and then names its other end no more.
 *
 * @param socket - connection whose end is held back, so that its descriptor stays open
 * @returns false if the connection is not closed within 300 ms, or breaks
 */
export default async function endUntilClosed(socket: Socket): Promise<boolean> {
  if (socket.destroyed) {
    return false;
  }
  await new Promise<void>((resolve) => {
    socket.end(() => resolve());
  });
  return awaitClosed(socket, CLOSE_LIMIT_MS);
}
