import net, { type Socket } from 'node:net';
import createReaderFault from './createReaderFault.js';

// The connections share their buffers, because each read is copied before the next one. From 64 KB a parser makes up to
// ten thousand objects before anything can stop it.
const bulkBuffer = Buffer.allocUnsafeSlow(65_536);
const smallBuffer = bulkBuffer.subarray(0, 4_096);
/** Number of consecutive reads that fill the buffer, after which larger reads save processor time. */
const SMALL_READS = 8;

/**
 * Opens a connection whose first reads of a transfer are small, so that a flooding answer can be abandoned before much of
 * it is parsed. An exception of the parser, or of a listener that it calls, destroys the connection with the error
 * `reader-failed`.
 *
 * @param options - address and options of the connection
 * @returns the socket, which is connecting
 */
export default function createSmallReadConnection(options: object): Socket {
  let fullReads = 0;
  const socket: Socket = net.connect({
    ...(options as net.TcpNetConnectOpts),
    onread: {
      buffer: () => (fullReads < SMALL_READS ? smallBuffer : bulkBuffer),
      callback: (bytes, buffer) => {
        fullReads = bytes === buffer.length ? fullReads + 1 : 0;
        try {
          return socket.push(Buffer.from(buffer.subarray(0, bytes)));
        } catch (cause) {
          socket.destroy(createReaderFault(cause));
          return false;
        }
      },
    },
  });
  return socket;
}
