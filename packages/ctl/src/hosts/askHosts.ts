import type { z } from 'zod';
import { toError } from '@bergamotcove/errors';
import CtlError from '../CtlError.js';
import withProgress from '../cli/withProgress.js';
import type { CommandContext } from '../types.js';

/** Answer of one host, or the error of the call. */
export type HostAnswer<Result> =
  | { readonly type: 'answered'; readonly hostUrl: string; readonly result: Result }
  | { readonly type: 'failed'; readonly hostUrl: string; readonly error: Error };

/** A method of the entry hosts with its parameters and the schema of its result. */
export interface HostMethod<Schema extends z.ZodType> {
  readonly name: string;
  readonly params: object;
  readonly schema: Schema;
}

/**
 * Calls one method on every host of the command line at the same time.
 *
 * @param context - command line with the hosts
 * @param method - method, parameters and schema of the result
 * @returns an answer for each host, in the order of the command line
 */
export default function askHosts<Schema extends z.ZodType>(
  context: CommandContext,
  method: HostMethod<Schema>,
): Promise<readonly HostAnswer<z.output<Schema>>[]> {
  const { ports, options } = context;
  const ask = async (hostUrl: string): Promise<HostAnswer<z.output<Schema>>> => {
    try {
      const parsed = method.schema.safeParse(await ports.callHost(hostUrl, method.name, method.params, options));
      if (!parsed.success) {
        throw new CtlError('invalid-answer', `answer to ${method.name} does not match this version of bergamotctl`);
      }
      return { type: 'answered', hostUrl, result: parsed.data };
    } catch (cause) {
      return { type: 'failed', hostUrl, error: toError(cause) };
    }
  };
  const hostUrls = [...new Set(options.host)];
  return withProgress(ports, `waiting for ${hostUrls.length} entry hosts`, Promise.all(hostUrls.map(ask)));
}
