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
  /** Bytes that the parser got. */
  parsedBytes: number;
  /** Lower bound of the bytes of the newest request's body that the parser did not get yet. */
  bodyLeftBytes: number;
  /** Whether reading has stopped because the connection is full. */
  isHeld: boolean;
  /** What it held when it was measured last. */
  heldBytes: number;
  /** Bytes of answers that the system had taken, and when that changed. */
  sentBytes: number;
  progressMs: number;
  /** When it was opened or its newest request came. */
  activeMs: number;
}

/** Creates the state of a connection that was just opened. */
export const createConnection = (socket: Socket, nowMs: number): Connection => ({
  socket,
  open: new Set(),
  requests: 0,
  newest: undefined,
  newestRequest: undefined,
  bodyError: undefined,
  requestBytes: 0,
  closing: false,
  phase: undefined,
  phaseBeganMs: 0,
  parsedBytes: 0,
  bodyLeftBytes: 0,
  isHeld: false,
  heldBytes: 0,
  sentBytes: 0,
  progressMs: nowMs,
  activeMs: nowMs,
});

/** Clients may send an empty line after a request. */
const EMPTY_LINE_BYTES = 2;

/** Counts the bytes since the newest request, as far as they can be told from its own. */
export const countHeadBytes = ({ parsedBytes, requestBytes }: Connection): number =>
  Math.max(0, parsedBytes - requestBytes);

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
