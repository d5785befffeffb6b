import hashServerId from './hashServerId.js';

/**
 * Indexes servers by the hash that identifies them in summaries. Servers whose hashes collide are left out: their
 * reports cannot be told apart, so each host polls them itself.
 *
 * @param serverIds - ids of the servers
 * @returns server ids by hash
 * @example
 * indexServers(['e1', 'e2']).get(hashServerId('e1')); // 'e1'
 */
export default function indexServers(serverIds: readonly string[]): ReadonlyMap<number, string> {
  const index = new Map<number, string>();
  const collidingHashes = new Set<number>();
  serverIds.forEach((serverId) => {
    const hash = hashServerId(serverId);
    if (index.has(hash) && index.get(hash) !== serverId) {
      collidingHashes.add(hash);
    }
    index.set(hash, serverId);
  });
  collidingHashes.forEach((hash) => index.delete(hash));
  return index;
}
