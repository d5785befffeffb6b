import type { IncomingMessage } from 'node:http';
import type { AnswerMemory } from './createAnswerRoom.js';

/** Largest answer that is read whole before it is passed on. */
export const MAX_ANSWER_BYTES = 4 * 1_048_576;

/**
 * Reads the body of an answer.
 *
 * @param response - answer
 * @param memory - memory for answers that are being read
 * @returns the body, or undefined when it broke off or is too large
 */
export default function readAnswerBody(response: IncomingMessage, memory: AnswerMemory): Promise<Buffer | undefined> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    const share = memory.open();
    const settle = (body: Buffer | undefined): void => {
      share.close();
      resolve(body);
    };
    if (response.destroyed) {
      // It broke before it could be read, and tells so no more.
      settle(undefined);
      return;
    }
    response.on('data', (chunk: Buffer) => {
      chunks.push(chunk);
      if (!share.reserve(chunk.length) || share.sizeBytes > MAX_ANSWER_BYTES) {
        chunks.length = 0;
        response.destroy();
        settle(undefined);
      }
    });
    response.on('end', () => settle(response.complete ? Buffer.concat(chunks) : undefined));
    response.on('error', () => settle(undefined));
    response.on('close', () => settle(undefined));
  });
}
