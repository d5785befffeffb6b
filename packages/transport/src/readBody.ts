import type { Readable } from 'node:stream';
import createByteCollector from './createByteCollector.js';
import readStream from './readStream.js';
import TransportError from './TransportError.js';

/** Default size limit of a request or response body. */
export const MAX_BODY_BYTES = 1_048_576;

/**
 * Reads a complete body as text.
 *
 * @param stream - request or response
 * @param options - size limit
 * @returns the text
 * @throws TransportError `too-large` over the limit, `fragmented` when it comes in far too many chunks,
 *   `connection-lost` when the stream breaks
 */
export default function readBody(
  stream: Readable,
  options: { readonly maxBytes: number } = { maxBytes: MAX_BODY_BYTES },
): Promise<string> {
  return new Promise((resolve, reject) => {
    const body = createByteCollector();
    readStream(stream, {
      onData: (chunk) => {
        body.push(chunk);
        if (body.sizeBytes > options.maxBytes || body.isFragmented) {
          reject(
            body.isFragmented
              ? new TransportError('fragmented', `body of ${body.sizeBytes} bytes came in too many chunks`)
              : new TransportError('too-large', `body exceeds ${options.maxBytes} bytes`),
          );
          body.clear();
          stream.destroy();
        }
      },
      onEnd: () => resolve(body.read().toString('utf8')),
      onBroken: (cause) =>
        reject(new TransportError('connection-lost', 'body ended early', cause === undefined ? {} : { cause })),
    });
  });
}
