import type * as z from 'zod/mini';
import BackendError from '../../BackendError.js';
import type { StoreCall } from '../dialect.js';
import { parseAnswer } from './wire.js';

const STATUS_OK = 200;

/**
 * Creates a call in the wire format of the product's own store.
 *
 * @param path - path of the call
 * @param body - request body
 * @param schema - schema of the answer, or undefined when the answer is ignored
 * @param select - converts the answer to the result
 * @returns the call
 */
export default function createJsonCall<Schema extends z.ZodMiniType, Result>(
  path: string,
  body: object,
  schema: Schema | undefined,
  select: (answer: z.output<Schema>) => Result,
): StoreCall<Result> {
  return {
    method: 'POST',
    path,
    body: JSON.stringify(body),
    read: (status, text) => {
      if (status !== STATUS_OK) {
        throw new BackendError('rejected', `the store answered ${path} with status ${status}`);
      }
      return select(schema === undefined ? (undefined as z.output<Schema>) : parseAnswer(schema, text));
    },
  };
}
