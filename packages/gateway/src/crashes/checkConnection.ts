import net from 'node:net';
import type { Target } from '@bergamotcove/transport';

/** What a new connection to a server tells. */
export type ConnectionCheck =
  | 'refused'
  | 'accepted'
  /** It is out of reach, or has no power. */
  | 'no-answer'
  | 'failed';

/** A server that takes no connection within this time is down or out of reach. */
const CHECK_LIMIT_MS = 150;

/**
 * Checks whether a server takes connections.
 *
 * @param target - its address
 * @returns what became of a connection; never rejects
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
