import type { IncomingMessage } from 'node:http';
import type { AnswerMemory } from './createAnswerMemory.js';

/** Size limit of an answer that is buffered before it is sent to the caller. */
export const MAX_ANSWER_BYTES = 4 * 1_048_576;

/**
 * Reads the body of an answer. Destroys the response when the body is too large.
 *
 * @param response - answer whose body is not read yet
 * @param memory - memory budget of the host's answers
 * @returns the body, or undefined when the connection broke or the body is too large
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
      // The connection broke before the listeners were attached, so no event would follow.
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
