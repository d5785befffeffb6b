import xxhash from 'xxhash-wasm';

const { h32 } = await xxhash();

/**
 * Finds the home servers of a prefix by rendezvous hashing, so that entry hosts agree on them without coordination.
 *
 * @param prefixKey - identity of the prompt prefix
 * @param serverIds - candidate servers
 * @param count - number of home servers
 * @returns ids of the home servers in rank order
 * @example
 * findHomes('brescia/explain-invoice', ['e1', 'e2', 'e3'], 2);
 */
export default function findHomes(prefixKey: string, serverIds: readonly string[], count: number): readonly string[] {
  return serverIds
    .map((serverId) => ({ serverId, hash: h32(`${prefixKey} ${serverId}`) }))
    .sort((a, b) => b.hash - a.hash)
    .slice(0, count)
    .map((entry) => entry.serverId);
}
