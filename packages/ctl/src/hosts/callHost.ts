import { createSystemClock } from '@bergamotcove/clock';
import { readSettings } from '@bergamotcove/config';
import {
  createHttpClient,
  createLinkClient,
  createPeerAuth,
  createPeerClient,
  type PeerClientOptions,
  type Target,
} from '@bergamotcove/transport';
import type { CallHostOptions } from '../types.js';

const TIMEOUT_MS = 5_000;
const LINK_LIMITS = { connectLimitMs: 1_000, pingMs: 500, silenceLimitMs: TIMEOUT_MS };

const readAuth = (settingsFile: string | undefined): PeerClientOptions =>
  settingsFile === undefined
    ? {}
    : { auth: createPeerAuth({ clock: createSystemClock(), keys: readSettings(settingsFile).peers.keys }) };

const callLink = async (target: Target, method: string, params: object): Promise<unknown> => {
  const links = createLinkClient({ clock: createSystemClock(), ...LINK_LIMITS });
  try {
    return await links.call(target, method, params);
  } finally {
    links.close();
  }
};

/**
 * Calls an operator method of an entry host, or of a gateway.
 *
 * @param hostUrl - URL of the host's peer port; `link:` for a gateway
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
  const target = { address: url.hostname, port: Number(url.port) };
  if (url.protocol === 'link:') {
    return callLink(target, method, params);
  }
  const http = createHttpClient();
  try {
    return await createPeerClient(http, readAuth(options.settings)).call(target, method, params, {
      timeoutMs: TIMEOUT_MS,
    });
  } finally {
    http.close();
  }
}
