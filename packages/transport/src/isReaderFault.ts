import TransportError from './TransportError.js';

/**
 * Tells whether an error is that of a message whose reader threw an exception.
 *
 * @param error - error of a connection or a body
 * @returns whether it is one of `createReaderFault`
 */
export default function isReaderFault(error: unknown): error is TransportError {
  return error instanceof TransportError && error.code === 'reader-failed';
}
