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

/** Options of {@link createRawServer}. */
export interface RawServerOptions {
  /** Answers a request of which a part has arrived, and tells whether it did; the rest is read without an answer then. */
  readonly answerEarly?: (request: RawRequest, socket: Socket) => boolean;
}

/**
 * Starts a server whose answers are written as they are.
 *
 * @param answer - writes the answer to a request; called once the request was read in full
 * @param options - what is answered sooner, by default nothing
 * @returns the server once it listens
 */
export default async function createRawServer(
  answer: (request: RawRequest, socket: Socket) => void,
  { answerEarly = () => false }: RawServerOptions = {},
): Promise<RawServer> {
  const sockets = new Set<Socket>();
  const server = net.createServer((socket) => {
    let text = '';
    let isAnswered = false;
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
      for (let end = text.indexOf(HEAD_END); end !== -1; end = text.indexOf(HEAD_END)) {
        const head = text.slice(0, end + 2);
        const bodyStart = end + HEAD_END.length;
        const bodyEnd = bodyStart + readLength(head);
        const [method = '', path = ''] = head.split(' ');
        const request = { method, path, head, body: text.slice(bodyStart, bodyEnd) };
        if (text.length < bodyEnd) {
          isAnswered ||= answerEarly(request, socket);
          return;
        }
        text = text.slice(bodyEnd);
        if (!isAnswered) {
          answer(request, socket);
        }
        isAnswered = false;
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
