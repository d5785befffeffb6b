import type { LinkServer } from '@bergamotcove/transport';

/**
 * Listens on the first port of a range that is free.
 *
 * @param ports - first and last port
 * @param listen - listens on a port
 * @returns the server
 * @throws what `listen` threw for the last port
 */
export default async function listenForPeers(
  [firstPort, lastPort]: readonly [number, number],
  listen: (port: number) => Promise<LinkServer>,
): Promise<LinkServer> {
  for (let port = firstPort; port < lastPort; port += 1) {
    try {
      // One port after the other.
      // eslint-disable-next-line no-await-in-loop
      return await listen(port);
    } catch {
      // The port is taken.
    }
  }
  return listen(lastPort);
}
