import { createSystemClock } from '@bergamotcove/clock';
import { readSettings } from '@bergamotcove/config';
import { createHttpClient, createPeerAuth, createPeerClient, type PeerClientOptions } from '@bergamotcove/transport';
import type { CallHostOptions } from '../types.js';

const TIMEOUT_MS = 5_000;

const readAuth = (settingsFile: string | undefined): PeerClientOptions =>
  settingsFile === undefined
    ? {}
    : { auth: createPeerAuth({ clock: createSystemClock(), keys: readSettings(settingsFile).peers.keys }) };

/**
 * Calls an operator method of an entry host.
 *
 * @param hostUrl - URL of the host's peer port
 * @param method - JSON-RPC method
 * @param params - its parameters
 * @param options - settings file whose keys sign the call
 * @returns the result
 * @throws TransportError when the host does not answer, ConfigError for a wrong settings file
 */
export default async function callHost(
  hostUrl: string,
  method: string,
  params: object,
  options: CallHostOptions,
): Promise<unknown> {
  const url = new URL(hostUrl);
  const http = createHttpClient();
  const target = { address: url.hostname, port: Number(url.port) };
  try {
    return await createPeerClient(http, readAuth(options.settings)).call(target, method, params, {
      timeoutMs: TIMEOUT_MS,
    });
  } finally {
    http.close();
  }
}
