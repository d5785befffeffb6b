import type { Connection } from './findConnectionPhase.js';

/**
 * Bytes that the parser gets at once. It creates all requests in them, about 40 of the shortest; a read of 64 KiB holds
 * 2,600, whose objects take a hundred times their bytes.
 */
const SLICE_BYTES = 1_024;

/**
 * Passes what arrives on a connection to the HTTP parser in small parts, and stops reading while the connection is full.
 * What is left of a read then stays in the socket.
 *
 * @param connection - state of the connection, whose socket has only the listener of the HTTP server
 * @param isFull - whether nothing more may be parsed now
 * @param onHeld - called when reading stops
 */
export default function feedParser(connection: Connection, isFull: () => boolean, onHeld: () => void): void {
  const one = connection;
  const { socket } = one;
  const [parse] = socket.listeners('data') as ((bytes: Buffer) => void)[];
  if (parse === undefined) {
    return;
  }
  socket.removeListener('data', parse);
  socket.on('data', (bytes: Buffer) => {
    let offset = 0;
    while (offset < bytes.length && !one.closing && !socket.destroyed) {
      if (isFull() || socket.isPaused()) {
        one.isHeld ||= isFull();
        socket.pause();
        socket.unshift(bytes.subarray(offset));
        onHeld();
        return;
      }
      // Within a body of stated length, there is no other request.
      const slice = bytes.subarray(offset, offset + Math.max(SLICE_BYTES, one.bodyLeftBytes));
      offset += slice.length;
      one.parsedBytes += slice.length;
      parse.call(socket, slice);
      one.bodyLeftBytes -= slice.length;
    }
  });
}
