import net from 'node:net';
import type { Target } from '@bergamotcove/transport';

/** Result of an attempt to connect to a server. */
export type ConnectionCheck =
  | 'refused'
  | 'accepted'
  /** The server is unreachable, or its machine is down. */
  | 'no-answer'
  | 'failed';

/** A server that accepts no connection within this time is down or unreachable. */
const CHECK_LIMIT_MS = 150;

/**
 * Checks whether a server accepts connections.
 *
 * @param target - address of the server
 * @returns the result of the connection; never rejects
 */
export default function checkConnection({ address, port }: Target): Promise<ConnectionCheck> {
  return new Promise((resolve) => {
    const socket = net.connect({ host: address, port });
    const settle = (check: ConnectionCheck): void => {
      socket.destroy();
      resolve(check);
    };
    socket.setTimeout(CHECK_LIMIT_MS, () => settle('no-answer'));
    socket.once('connect', () => settle('accepted'));
    socket.once('error', (error: NodeJS.ErrnoException) =>
      settle(error.code === 'ECONNREFUSED' ? 'refused' : 'failed'),
    );
  });
}
