import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** What a connection waits for. */
export type ConnectionPhase = 'idle' | 'head' | 'request' | 'ending';

/** State of a connection of an HTTP server. */
export interface Connection {
  readonly socket: Socket;
  readonly open: Set<ServerResponse>;
  requests: number;
  /** Answer to the newest request, until it is sent. */
  newest: ServerResponse | undefined;
  newestRequest: IncomingMessage | undefined;
  /** Error in the body of the newest request. */
  bodyError: Error | undefined;
  /** Bytes up to the end of the newest request, as far as they had come then. */
  requestBytes: number;
  /** Whether no further request is admitted. */
  closing: boolean;
  phase: ConnectionPhase | undefined;
  phaseBeganMs: number;
}

/** Clients may send an empty line after a request. */
const EMPTY_LINE_BYTES = 2;

/** Counts the bytes since the newest request, as far as they can be told from its own. */
export const countHeadBytes = ({ socket, requestBytes }: Connection): number =>
  Math.max(0, socket.bytesRead - requestBytes);

/**
 * Finds what a connection waits for.
 *
 * @param connection - state of the connection
 * @returns its phase
 */
export default function findConnectionPhase(connection: Connection): ConnectionPhase {
  const { socket, open, newest, newestRequest, closing } = connection;
  const calm = open.size > 0 ? 'request' : 'idle';
  if (closing) {
    return open.size > 0 ? 'request' : 'ending';
  }
  // A body that waits for its turn is not read, so its bytes cannot be told from those of a next head. No head can arrive
  // while the socket is paused because answers wait to be sent.
  const isWaiting = newestRequest?.complete === false || newest?.socket === null;
  if (isWaiting || (open.size > 0 && socket.isPaused())) {
    return calm;
  }
  return countHeadBytes(connection) > EMPTY_LINE_BYTES ? 'head' : calm;
}
