import { z } from 'zod';
import type { HttpClient, Target } from '@bergamotcove/transport';
import BackendError from '../BackendError.js';

const loadSchema = z.object({
  running: z.number().min(0),
  queued: z.number().min(0),
  tokensPerSecond: z.number().min(0),
  reportedAtMs: z.number(),
});

/** Load report of a backend server; `reportedAtMs` is wall-clock time of the server. */
export type ServerLoad = Readonly<z.output<typeof loadSchema>>;

const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;

/**
 * Fetches the load report of a backend server.
 *
 * @param client - HTTP client
 * @param target - address of the server
 * @param options - time limit
 * @returns the report, or undefined when the server has no such endpoint
 * @throws BackendError when the server does not answer, or its answer is not a valid load report
 * @example
 * const load = await fetchLoad(client, { address: '10.0.0.7', port: 8000 }, { timeoutMs: 400 });
 */
export default async function fetchLoad(
  client: HttpClient,
  target: Target,
  options: { readonly timeoutMs: number },
): Promise<ServerLoad | undefined> {
  try {
    const response = await client.send(target, {
      method: 'GET',
      path: '/load',
      signal: AbortSignal.timeout(options.timeoutMs),
    });
    if (response.status === STATUS_NOT_FOUND) {
      return undefined;
    }
    if (response.status !== STATUS_OK) {
      throw new BackendError('unavailable', `the load report request was answered with status ${response.status}`);
    }
    return loadSchema.parse(JSON.parse(response.body));
  } catch (cause) {
    throw cause instanceof BackendError
      ? cause
      : new BackendError('unavailable', 'the load report could not be read', { cause });
  }
}
