import { TransportError } from '@bergamotcove/transport';

/**
 * Tells whether a request failed because nothing listens at the server's address.
 *
 * @param cause - failure of a request
 * @returns whether the connection was refused
 */
export default function isConnectionRefused(cause: unknown): boolean {
  const reason: NodeJS.ErrnoException | undefined = cause instanceof TransportError ? cause.cause() : undefined;
  return reason?.code === 'ECONNREFUSED';
}
