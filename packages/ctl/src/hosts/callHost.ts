import { createHttpClient, createPeerClient } from '@bergamotcove/transport';

const TIMEOUT_MS = 5_000;

/**
 * Calls an operator method of an entry host.
 *
 * @param hostUrl - URL of the host's peer port
 * @param method - JSON-RPC method
 * @param params - its parameters
 * @returns the result
 * @throws TransportError when the host does not answer
 */
export default async function callHost(hostUrl: string, method: string, params: object): Promise<unknown> {
  const url = new URL(hostUrl);
  const http = createHttpClient();
  const target = { address: url.hostname, port: Number(url.port) };
  try {
    return await createPeerClient(http).call(target, method, params, { timeoutMs: TIMEOUT_MS });
  } finally {
    http.close();
  }
}
