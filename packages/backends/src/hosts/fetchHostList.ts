import { z } from 'zod';
import { listedHostSchema, type ListedHost } from '@bergamotcove/protocol';
import type { HttpClient } from '@bergamotcove/transport';
import BackendError from '../BackendError.js';

const hostListSchema = z.object({ revision: z.int(), hosts: z.array(listedHostSchema) });

/** The host list; it is updated with a delay and may be out of date. */
export interface HostList {
  readonly revision: number;
  readonly hosts: readonly ListedHost[];
  /** Entity tag of this state of the list; undefined when the platform sends none. */
  readonly etag?: string;
}

/** Options of {@link fetchHostList}. */
export interface FetchHostListOptions {
  readonly url: string;
  readonly timeoutMs: number;
  /** Entity tag of the list that the caller has; the server then sends no body unless the list has changed. */
  readonly etag?: string;
}

const STATUS_OK = 200;
const STATUS_NOT_MODIFIED = 304;

/**
 * Fetches the host list.
 *
 * @param client - HTTP client
 * @param options - URL of the list, time limit and the entity tag of the known list
 * @returns the list, or undefined when it still has the given entity tag
 * @throws BackendError when the list cannot be read
 * @example
 * const list = await fetchHostList(client, { url, timeoutMs: 1_000, etag: known.etag });
 */
export default async function fetchHostList(
  client: HttpClient,
  { url, timeoutMs, etag }: FetchHostListOptions,
): Promise<HostList | undefined> {
  const { hostname, port, pathname } = new URL(url);
  try {
    const response = await client.send(
      { address: hostname, port: Number(port) },
      {
        method: 'GET',
        path: pathname,
        signal: AbortSignal.timeout(timeoutMs),
        ...(etag === undefined ? {} : { headers: { 'if-none-match': etag } }),
      },
    );
    if (etag !== undefined && response.status === STATUS_NOT_MODIFIED) {
      return undefined;
    }
    if (response.status !== STATUS_OK) {
      throw new BackendError('unavailable', `the host list request was answered with status ${response.status}`);
    }
    const tag = response.headers.etag;
    return { ...hostListSchema.parse(JSON.parse(response.body)), ...(typeof tag === 'string' ? { etag: tag } : {}) };
  } catch (cause) {
    throw new BackendError('unavailable', 'the host list could not be read', { cause });
  }
}
