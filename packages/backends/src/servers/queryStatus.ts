import { z } from 'zod';
import type { HttpClient, Target } from '@bergamotcove/transport';

const STATUS_OK = 200;

const statusSchema = z.object({ executed: z.boolean() });

/**
 * Queries the backend server of a `call` stage for whether it executed the call with an idempotency key.
 *
 * @param client - HTTP client
 * @param target - backend server
 * @param options - idempotency key, organisation that sent it, and time limit
 * @returns whether the call was executed, or undefined when the server gives no valid answer
 * @example
 * const executed = await queryStatus(client, target, { key: 'k1', organisation: 'acme', timeoutMs: 200 });
 */
export default async function queryStatus(
  client: HttpClient,
  target: Target,
  options: { readonly key: string; readonly organisation: string; readonly timeoutMs: number },
): Promise<boolean | undefined> {
  const query = new URLSearchParams({ key: options.key, organisation: options.organisation });
  try {
    const response = await client.send(target, {
      method: 'GET',
      path: `/v1/status?${query.toString()}`,
      signal: AbortSignal.timeout(options.timeoutMs),
    });
    return response.status === STATUS_OK ? statusSchema.parse(JSON.parse(response.body)).executed : undefined;
  } catch {
    return undefined;
  }
}
