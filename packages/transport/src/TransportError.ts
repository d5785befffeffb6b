import { LayerError } from '@bergamotcove/errors';

/** Reason of a transport failure. */
export type TransportErrorCode =
  /** No connection was made; no byte of the request left this process. */
  | 'not-connected'
  /** The connection broke after the request was sent. */
  | 'connection-lost'
  /** The time limit passed or the caller cancelled. */
  | 'aborted'
  /** The other side sent an invalid message, or answered with an error. */
  | 'invalid-message'
  /** A message is larger than its limit. */
  | 'too-large'
  /** A body came in far more chunks than its size needs. */
  | 'fragmented'
  /** Too many informational (1xx) responses came before the final one. */
  | 'too-many-interim'
  /** Reading a message threw an exception: a fault of this process, not of the other side. */
  | 'reader-failed'
  /** A message has no valid signature, or its signature is too old or was used before. */
  | 'unauthenticated';

/** Failure of a connection or message between processes. */
export default class TransportError extends LayerError<TransportErrorCode> {}
