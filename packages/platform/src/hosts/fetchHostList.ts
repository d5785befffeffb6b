import { z } from 'zod';
import type { HttpClient } from '@bergamotcove/transport';
import PlatformError from '../PlatformError.js';

const hostSchema = z.object({
  id: z.string(),
  role: z.enum(['entry', 'server']),
  address: z.string(),
  port: z.number(),
  /** Port for peer messages; entry hosts only. */
  peerPort: z.number().optional(),
  /** Pool of a backend server. */
  pool: z.string().optional(),
  failureDomain: z.string(),
  region: z.string(),
  state: z.enum(['live', 'leaving']),
});

const hostListSchema = z.object({ revision: z.number(), hosts: z.array(hostSchema) });

/** One host of the platform's host list. */
export type ListedHost = Readonly<z.output<typeof hostSchema>>;

/** The host list; it lags behind the real state. */
export interface HostList {
  readonly revision: number;
  readonly hosts: readonly ListedHost[];
}

/**
 * Fetches the host list.
 *
 * @param client - HTTP client
 * @param options - URL of the list and time limit
 * @returns the list
 * @throws PlatformError when the list cannot be read
 */
export default async function fetchHostList(
  client: HttpClient,
  options: { readonly url: string; readonly timeoutMs: number },
): Promise<HostList> {
  const url = new URL(options.url);
  const target = { address: url.hostname, port: Number(url.port) };
  try {
    const response = await client.send(target, {
      method: 'GET',
      path: url.pathname,
      signal: AbortSignal.timeout(options.timeoutMs),
    });
    return hostListSchema.parse(JSON.parse(response.body));
  } catch (cause) {
    throw new PlatformError('unavailable', 'the host list could not be read', { cause });
  }
}
