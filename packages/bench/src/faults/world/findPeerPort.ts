import dgram from 'node:dgram';
import { once } from 'node:events';
import net, { type AddressInfo } from 'node:net';
import { ADDRESS } from '../constants.js';

const MAX_TRIES = 10;

/** Binds a UDP port and the TCP port of the same number for a moment; undefined when the second is taken. */
const tryPort = async (): Promise<number | undefined> => {
  const server = net.createServer();
  const socket = dgram.createSocket('udp4');
  try {
    server.listen(0, ADDRESS);
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    socket.bind(port, ADDRESS);
    await once(socket, 'listening');
    return port;
  } catch {
    return undefined;
  } finally {
    server.close();
    socket.close();
  }
};

/**
 * Finds a port that is free for TCP and for UDP, because an entry host uses one number for both. A port that the
 * system gives out for TCP can be in use for UDP by a world of another process.
 *
 * @returns the port
 * @throws Error when no port was free in several tries
 */
export default async function findPeerPort(): Promise<number> {
  for (let tries = 0; tries < MAX_TRIES; tries += 1) {
    const port = await tryPort();
    if (port !== undefined) {
      return port;
    }
  }
  throw new Error(`no port was free for TCP and UDP in ${MAX_TRIES} tries`);
}
