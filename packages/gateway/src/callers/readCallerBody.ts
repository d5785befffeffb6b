import type { IncomingMessage } from 'node:http';

/** What became of the body of a request. */
export type CallerBody =
  | { readonly type: 'whole'; readonly body: Buffer }
  | { readonly type: 'too-large' }
  /** The caller went away or broke off. */
  | { readonly type: 'broken' };

/**
 * Reads the body of a caller's request.
 *
 * @param request - request
 * @param maxBytes - limit
 * @returns the body
 */
export default function readCallerBody(request: IncomingMessage, maxBytes: number): Promise<CallerBody> {
  if (Number(request.headers['content-length'] ?? 0) > maxBytes) {
    return Promise.resolve({ type: 'too-large' });
  }
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    request.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes > maxBytes) {
        request.pause();
        resolve({ type: 'too-large' });
        return;
      }
      chunks.push(chunk);
    });
    request.on('end', () => resolve({ type: 'whole', body: Buffer.concat(chunks) }));
    request.on('error', () => resolve({ type: 'broken' }));
    request.on('close', () => resolve({ type: 'broken' }));
  });
}
