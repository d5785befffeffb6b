import type { Readable } from 'node:stream';
import TransportError from './TransportError.js';

/** Largest request or response body that is read whole. */
export const MAX_BODY_BYTES = 1_048_576;

/**
 * Reads a whole body as text.
 *
 * @param stream - request or response
 * @param options - size limit
 * @returns the text
 * @throws TransportError `too-large` over the limit, `connection-lost` when the stream breaks
 */
export default async function readBody(
  stream: Readable,
  options: { readonly maxBytes: number } = { maxBytes: MAX_BODY_BYTES },
): Promise<string> {
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  try {
    for await (const chunk of stream) {
      sizeBytes += (chunk as Buffer).length;
      if (sizeBytes > options.maxBytes) {
        throw new TransportError('too-large', `body exceeds ${options.maxBytes} bytes`);
      }
      chunks.push(chunk as Buffer);
    }
  } catch (cause) {
    throw cause instanceof TransportError
      ? cause
      : new TransportError('connection-lost', 'body ended early', { cause });
  }
  return Buffer.concat(chunks).toString('utf8');
}
