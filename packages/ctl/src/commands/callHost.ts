import { createHttpClient } from '@bergamotcove/transport';
import { JSONRPCClient } from 'json-rpc-2.0';

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
  const client = new JSONRPCClient(async (request) => {
    const response = await http.send(target, {
      method: 'POST',
      path: '/rpc',
      body: JSON.stringify(request),
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    client.receive(JSON.parse(response.body));
  });
  try {
    return await client.request(method, params);
  } finally {
    http.close();
  }
}
