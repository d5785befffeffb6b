import type { IncomingMessage } from 'node:http';
import { createByteCollector, readStream } from '@bergamotcove/transport';
import type { AnswerMemory } from './createAnswerMemory.js';

/** Size limit of an answer that is buffered before it is sent to the caller. */
export const MAX_ANSWER_BYTES = 4 * 1_048_576;

/** Body of an answer, or why there is none. */
export type ReadAnswer =
  | { readonly type: 'whole'; readonly body: Buffer }
  /** The connection broke. */
  | { readonly type: 'broken' }
  /** It exceeded the memory for it. */
  | { readonly type: 'excessive' }
  /** It came in far too many chunks. */
  | { readonly type: 'fragmented' };

/**
 * Reads the body of an answer. Destroys the response when the body is excessive.
 *
 * @param response - answer whose body is not read yet
 * @param memory - memory budget of the host's answers
 * @returns the body, or why there is none; never rejects
 */
export default function readAnswerBody(response: IncomingMessage, memory: AnswerMemory): Promise<ReadAnswer> {
  return new Promise((resolve) => {
    const collected = createByteCollector();
    const share = memory.open();
    const settle = (answer: ReadAnswer): void => {
      share.close();
      resolve(answer);
    };
    readStream(response, {
      onData: (chunk) => {
        const { heldBytes } = collected;
        collected.push(chunk);
        const isWithinBudget = share.reserve(collected.heldBytes - heldBytes);
        if (!isWithinBudget || collected.sizeBytes > MAX_ANSWER_BYTES || collected.isFragmented) {
          const type = collected.isFragmented ? 'fragmented' : 'excessive';
          collected.clear();
          response.destroy();
          settle({ type });
        }
      },
      onEnd: () => settle(response.complete ? { type: 'whole', body: collected.read() } : { type: 'broken' }),
      onBroken: () => settle({ type: 'broken' }),
    });
  });
}
