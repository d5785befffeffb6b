import type { IncomingMessage } from 'node:http';

/** Statuses of responses that never have a body, whatever their headers say about its length. */
const BODILESS_STATUSES: readonly (number | undefined)[] = [204, 304];
const CHUNKED = /(?:^|,)[ \t]*chunked[ \t]*$/i;

/**
 * Whether only the end of the connection ends the body of a response. Its parser then takes any end for the end of the
 * body. Encodings other than chunks do not delimit a body.
 *
 * @param method - method of the request
 * @param response - head of the response
 * @returns false when the response states its end itself, or has no body
 */
export default function endsWithConnection(
  method: string,
  { headers, statusCode }: Pick<IncomingMessage, 'headers' | 'statusCode'>,
): boolean {
  const { 'content-length': length, 'transfer-encoding': encoding } = headers;
  const isFramed = encoding === undefined ? length !== undefined : CHUNKED.test(encoding);
  return method !== 'HEAD' && !BODILESS_STATUSES.includes(statusCode) && !isFramed;
}
