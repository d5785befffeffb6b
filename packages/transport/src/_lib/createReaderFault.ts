import TransportError from '../TransportError.js';

/**
 * Creates the error of a message whose reader threw an exception.
 *
 * @param cause - what was thrown
 * @returns the error, which ends the connection or the body of the message
 */
export default function createReaderFault(cause: unknown): TransportError {
  return new TransportError('reader-failed', 'reading a message threw an exception', { cause });
}
