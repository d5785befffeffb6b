import { TransportError, type HttpClient, type TransportErrorCode } from '@bergamotcove/transport';
import type { ServerDirectory } from '../servers/createServerDirectory.js';

/** Checks whether a backend server is down, that is, refuses or resets a new connection. */
export type DownCheck = (pool: string, serverId: string) => Promise<boolean>;

/** Includes `connection-lost`: a proxy in front of a crashed server accepts the connection and then resets it. */
const DOWN_CODES: readonly TransportErrorCode[] = ['not-connected', 'connection-lost'];

/** A server that neither accepts nor refuses within this time may be unreachable, which does not count as a crash. */
const CHECK_TIMEOUT_MS = 150;

/**
 * Creates the check that distinguishes a crashed server from a broken connection. A crashed process refuses
 * connections until it has restarted, which takes an engine several seconds.
 *
 * @param http - HTTP client
 * @param directory - backend servers
 * @returns the check; it never rejects
 */
export default function createDownCheck(http: HttpClient, directory: ServerDirectory): DownCheck {
  return async (pool, serverId) => {
    const server = directory.listPool(pool).find((candidate) => candidate.serverId === serverId);
    if (server === undefined) {
      return false;
    }
    try {
      const signal = AbortSignal.timeout(CHECK_TIMEOUT_MS);
      await http.send(server, { method: 'GET', path: '/load', freshConnection: true, signal });
      return false;
    } catch (cause) {
      return cause instanceof TransportError && DOWN_CODES.includes(cause.code);
    }
  };
}
