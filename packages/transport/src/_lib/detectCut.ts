import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import endsWithConnection from '../endsWithConnection.js';
import readSendQueue from './readSendQueue.js';

/** The request whose response is watched. */
export interface DetectedRequest {
  readonly method: string;
  readonly body?: string | Uint8Array;
}

/** A server reads at least this much at once, so it has read a request of this size when it answers. */
const SHORT_BODY_BYTES = 65_536;
/**
 * A server that closes with a part of the request unread resets the connection. 250 ms between the end of its answer
 * and the reset were seen.
 */
const RESET_WAIT_MS = 300;

const EARLY_END = 'the response ended before the request was written';

const wait = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Holds the end of the other side back until the check resolves; this side stays open meanwhile. */
const holdEnd = (socket: Socket, check: () => Promise<void>): void => {
  const push = socket.push.bind(socket);
  // The end is pushed as null. Listeners of the event would come too late: each of them closes this side.
  Object.assign(socket, {
    push: (chunk: unknown, encoding?: BufferEncoding): boolean => {
      if (chunk !== null) {
        return push(chunk, encoding);
      }
      check().then(() => push(null), socket.destroy.bind(socket));
      return false;
    },
  });
};

/**
 * Destroys a response without a length whose connection was reset, or ended before the request was written. The parser
 * takes either for the end of the body. The event loop reports a reset that it finds together with the last bytes, or
 * later, as an orderly end; then only a write reveals it.
 *
 * @param outgoing - request of the response
 * @param response - its response, not read yet; nothing is done when its body does not end with the connection
 * @param request - method and body of the request
 */
export default function detectCut(
  outgoing: ClientRequest,
  response: IncomingMessage,
  { method, body = '' }: DetectedRequest,
): void {
  if (!endsWithConnection(method, response)) {
    return;
  }
  const { socket } = response;
  socket.prependOnceListener('end', () => {
    if (!outgoing.writableFinished) {
      response.destroy(new Error(EARLY_END));
      return;
    }
    socket.write('', (cause) => {
      if (cause) {
        response.destroy(cause);
      }
    });
  });
  if (Buffer.byteLength(body) > SHORT_BODY_BYTES) {
    holdEnd(socket, async () => {
      if (!outgoing.writableFinished || (await readSendQueue(socket)) > 0) {
        response.destroy(new Error(EARLY_END));
      } else {
        await wait(RESET_WAIT_MS);
      }
    });
  }
}
