import type { Socket } from 'node:net';

/**
 * Holds the end of the other side of a connection back until a check resolves; this side stays open meanwhile. The
 * connection is destroyed when the check rejects.
 *
 * @param socket - connection whose end has not arrived yet
 * @param check - called when the end arrives
 */
export default function holdEnd(socket: Socket, check: () => Promise<void>): void {
  const push = socket.push.bind(socket);
  // The end is pushed as null. Listeners of the event would come too late: each of them closes this side.
  Object.assign(socket, {
    push: (chunk: unknown, encoding?: BufferEncoding): boolean => {
      if (chunk !== null) {
        return push(chunk, encoding);
      }
      check()
        .then(() => push(null))
        .catch((cause: Error) => socket.destroy(cause));
      return false;
    },
  });
}
