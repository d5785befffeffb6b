import type { Readable } from 'node:stream';
import TransportError from './TransportError.js';

/** Default size limit of a request or response body. */
export const MAX_BODY_BYTES = 1_048_576;

/**
 * Reads a complete body as text.
 *
 * @param stream - request or response
 * @param options - size limit
 * @returns the text
 * @throws TransportError `too-large` over the limit, `connection-lost` when the stream breaks
 */
export default function readBody(
  stream: Readable,
  options: { readonly maxBytes: number } = { maxBytes: MAX_BODY_BYTES },
): Promise<string> {
  // Listeners are cheaper than an async iterator, and every request and response is read here.
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    let settled = false;
    const endEarly = (cause?: Error): void => {
      if (settled) {
        return;
      }
      settled = true;
      reject(new TransportError('connection-lost', 'body ended early', cause === undefined ? {} : { cause }));
    };
    if (stream.destroyed) {
      // The stream broke before the listeners were added and emits no further event.
      endEarly();
      return;
    }
    stream.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes > options.maxBytes) {
        settled = true;
        reject(new TransportError('too-large', `body exceeds ${options.maxBytes} bytes`));
        stream.destroy();
        return;
      }
      chunks.push(chunk);
    });
    stream.on('end', () => {
      settled = true;
      resolve(Buffer.concat(chunks).toString('utf8'));
    });
    stream.on('error', endEarly);
    stream.on('close', endEarly);
  });
}
