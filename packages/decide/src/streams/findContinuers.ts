import type { StreamOrigin } from './types.js';

/** The part of a server that decides which streams it may go on with. */
export interface VersionedServer {
  readonly pool: string;
  readonly softwareVersion?: string;
}

/**
 * Finds the servers that may go on with a stream. Servers without a version match only in a pool in which no server
 * names one: elsewhere an entry without a version can belong to any of them.
 *
 * @param servers - servers of the pool
 * @param origin - where the stream began
 * @returns the servers of the same pool and version
 * @example
 * findContinuers([{ pool: 'lm', softwareVersion: 'v2' }], { pool: 'lm', softwareVersion: 'v1' }); // []
 */
export default function findContinuers<Server extends VersionedServer>(
  servers: readonly Server[],
  { pool, softwareVersion }: StreamOrigin,
): readonly Server[] {
  if (softwareVersion === '' && servers.some((server) => (server.softwareVersion ?? '') !== '')) {
    return [];
  }
  return servers.filter((server) => server.pool === pool && (server.softwareVersion ?? '') === softwareVersion);
}
