import { once } from 'node:events';
import net, { type AddressInfo, type Socket } from 'node:net';

/** A request as a server that writes raw answers reads it. */
export interface RawRequest {
  readonly method: string;
  readonly path: string;
  /** The head as it was sent, one character for each byte. */
  readonly head: string;
  readonly body: string;
}

/** Server on loopback that answers with the bytes that it is given. */
export interface RawServer {
  readonly port: number;
  close(): void;
}

const HEAD_END = '\r\n\r\n';

const readLength = (head: string): number => Number(/^content-length: *(\d+)/im.exec(head)?.[1] ?? 0);

/**
 * Starts a server whose answers are written as they are.
 *
 * @param answer - writes the answer to a request; called once the request was read in full
 * @returns the server once it listens
 */
export default async function createRawServer(
  answer: (request: RawRequest, socket: Socket) => void,
): Promise<RawServer> {
  const sockets = new Set<Socket>();
  const server = net.createServer((socket) => {
    let text = '';
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
      for (let end = text.indexOf(HEAD_END); end !== -1; end = text.indexOf(HEAD_END)) {
        const head = text.slice(0, end + 2);
        const bodyStart = end + HEAD_END.length;
        const bodyEnd = bodyStart + readLength(head);
        if (text.length < bodyEnd) {
          return;
        }
        const [method = '', path = ''] = head.split(' ');
        const body = text.slice(bodyStart, bodyEnd);
        text = text.slice(bodyEnd);
        answer({ method, path, head, body }, socket);
      }
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return {
    port: (server.address() as AddressInfo).port,
    close: () => {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
}
