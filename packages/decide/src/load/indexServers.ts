import hashServerId from './hashServerId.js';

/**
 * Indexes servers by the hash that names them in summaries. Servers with the same hash are left out: their reports
 * cannot be told apart, so hosts poll them for themselves.
 *
 * @param serverIds - servers
 * @returns server ids by hash
 * @example
 * indexServers(['e1', 'e2']).get(hashServerId('e1')); // 'e1'
 */
export default function indexServers(serverIds: readonly string[]): ReadonlyMap<number, string> {
  const index = new Map<number, string>();
  const shared = new Set<number>();
  serverIds.forEach((serverId) => {
    const hash = hashServerId(serverId);
    if (index.has(hash) && index.get(hash) !== serverId) {
      shared.add(hash);
    }
    index.set(hash, serverId);
  });
  shared.forEach((hash) => index.delete(hash));
  return index;
}
