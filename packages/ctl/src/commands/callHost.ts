import { createSystemClock } from '@bergamotcove/clock';
import { createHttpClient, createPeerAuth, createPeerClient, type PeerKey } from '@bergamotcove/transport';

const TIMEOUT_MS = 5_000;

/**
 * Calls an operator method of an entry host.
 *
 * @param hostUrl - URL of the host's peer port
 * @param method - JSON-RPC method
 * @param params - its parameters
 * @param options - `keys` sign the call; a host answers unsigned calls only over loopback
 * @returns the result
 * @throws TransportError when the host does not answer
 */
export default async function callHost(
  hostUrl: string,
  method: string,
  params: object,
  options: { readonly keys?: readonly PeerKey[] } = {},
): Promise<unknown> {
  const url = new URL(hostUrl);
  const http = createHttpClient();
  const auth =
    options.keys === undefined ? {} : { auth: createPeerAuth({ clock: createSystemClock(), keys: options.keys }) };
  const target = { address: url.hostname, port: Number(url.port) };
  try {
    return await createPeerClient(http, auth).call(target, method, params, { timeoutMs: TIMEOUT_MS });
  } finally {
    http.close();
  }
}
