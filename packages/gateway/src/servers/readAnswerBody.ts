import type { IncomingMessage } from 'node:http';

/** Largest answer that is read whole before it is passed on. */
export const MAX_ANSWER_BYTES = 4 * 1_048_576;

/**
 * Reads the body of an answer.
 *
 * @param response - answer
 * @returns the body, or undefined when it broke off or is too large
 */
export default function readAnswerBody(response: IncomingMessage): Promise<Buffer | undefined> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    response.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.length;
      chunks.push(chunk);
      if (sizeBytes > MAX_ANSWER_BYTES) {
        response.destroy();
        resolve(undefined);
      }
    });
    response.on('end', () => resolve(response.complete ? Buffer.concat(chunks) : undefined));
    response.on('error', () => resolve(undefined));
    response.on('close', () => resolve(undefined));
  });
}
