import { TransportError, type HttpClient, type TransportErrorCode } from '@bergamotcove/transport';
import type { ServerDirectory } from '../servers/createServerDirectory.js';

/** Tells whether a backend server is down: it refuses or breaks a new connection. */
export type DownCheck = (pool: string, serverId: string) => Promise<boolean>;

/** A forwarder in front of a crashed server accepts the connection and then resets it. */
const DOWN_CODES: readonly TransportErrorCode[] = ['not-connected', 'connection-lost'];

/** A server that neither accepts nor refuses within this time may be cut off; that is no crash. */
const CHECK_TIMEOUT_MS = 150;

/**
 * Creates the check that tells a crashed server from a broken connection. A crashed process refuses connections until
 * it has been started again, which takes an engine seconds.
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
