import TransportError, { type TransportErrorCode } from './TransportError.js';

const FLOODING_CODES: ReadonlySet<TransportErrorCode> = new Set(['fragmented', 'too-many-interim']);

/** Code of Node's parser for a head, or trailers, over its limit. */
const HEADER_OVERFLOW = 'HPE_HEADER_OVERFLOW';

/**
 * Tells whether a request failed because its server sent bytes that lead to no answer until it was abandoned.
 *
 * @param error - failure of a request
 * @returns whether the failure, or what caused it, is of that kind
 */
export default function isFlooding(error: unknown): boolean {
  return error instanceof TransportError
    ? FLOODING_CODES.has(error.code) || isFlooding(error.cause())
    : (error as { readonly code?: unknown } | undefined)?.code === HEADER_OVERFLOW;
}
