import { randomInt } from 'node:crypto';
import dgram from 'node:dgram';
import { once } from 'node:events';
import net from 'node:net';
import { ADDRESS } from '../constants.js';

const MAX_TRIES = 10;

/** Below the ephemeral port range, so that no outgoing connection takes the port before the host binds it. */
const PORTS = { from: 10_000, to: 32_000 } as const;

/** Tells whether the port is free for TCP and UDP by binding both for a moment. */
const isFree = async (port: number): Promise<boolean> => {
  const server = net.createServer();
  const socket = dgram.createSocket('udp4');
  try {
    server.listen(port, ADDRESS);
    await once(server, 'listening');
    socket.bind(port, ADDRESS);
    await once(socket, 'listening');
    return true;
  } catch {
    return false;
  } finally {
    server.close();
    socket.close();
  }
};

/**
 * Finds a port that is free for TCP and for UDP, because an entry host uses one number for both. The random choice is
 * not seeded, because worlds in several processes must not try the same ports.
 *
 * @returns the port
 * @throws Error when no port was free in several tries
 */
export default async function findPeerPort(): Promise<number> {
  for (let tries = 0; tries < MAX_TRIES; tries += 1) {
    const port = randomInt(PORTS.from, PORTS.to);
    if (await isFree(port)) {
      return port;
    }
  }
  throw new Error(`no port was free for TCP and UDP in ${MAX_TRIES} tries`);
}
