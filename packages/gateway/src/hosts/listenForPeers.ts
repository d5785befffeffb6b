import type { LinkServer } from '@bergamotcove/transport';

/**
 * Listens on the first free port of a range.
 *
 * @param ports - first and last port of the range
 * @param listen - starts a server on a port; rejects when the port is in use
 * @returns the server on the first port that is free
 * @throws the error of `listen` for the last port
 */
export default async function listenForPeers(
  [firstPort, lastPort]: readonly [number, number],
  listen: (port: number) => Promise<LinkServer>,
): Promise<LinkServer> {
  for (let port = firstPort; port < lastPort; port += 1) {
    try {
      // Ports are tried in order.
      // eslint-disable-next-line no-await-in-loop
      return await listen(port);
    } catch {
      // The port is in use.
    }
  }
  return listen(lastPort);
}
