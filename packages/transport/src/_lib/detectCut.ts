import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';
import endsWithConnection from '../endsWithConnection.js';
import endUntilClosed from './endUntilClosed.js';
import holdEnd from './holdEnd.js';
import showsClosedState from './showsClosedState.js';

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

const EARLY_END = 'the response ended before its server had the request';

/** Finds the error of a reset that arrived after the end of the other side. */
const findReset = (socket: Socket): Promise<Error | undefined> =>
  new Promise((resolve) => {
    socket.write('', (cause) => resolve(cause ?? undefined));
  });

/**
 * Whether the server has received the whole request; also when the system does not show it. A write counts as finished
 * once the kernel has the bytes, which may be megabytes ahead of the server.
 */
const isReceived = async (socket: Socket): Promise<boolean> => !(await showsClosedState()) || endUntilClosed(socket);

/** Finds why the end of a connection is not the end of the response to a long request; undefined when it is. */
const findFault = async (outgoing: ClientRequest, socket: Socket): Promise<Error | undefined> => {
  if (!outgoing.writableFinished) {
    return new Error(EARLY_END);
  }
  await wait(RESET_WAIT_MS);
  return (await findReset(socket)) ?? ((await isReceived(socket)) ? undefined : new Error(EARLY_END));
};

/**
 * Destroys a response without a length whose connection was reset, or ended before the server had the request. The parser
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
  if (Buffer.byteLength(body) > SHORT_BODY_BYTES) {
    holdEnd(socket, async () => {
      const fault = await findFault(outgoing, socket);
      if (fault !== undefined) {
        response.destroy(fault);
      }
    });
    return;
  }
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
}
