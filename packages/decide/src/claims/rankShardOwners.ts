import xxhash from 'xxhash-wasm';

const { h64 } = await xxhash();

/**
 * Ranks the hosts for a shard by rendezvous hashing. A host that joins or leaves moves only the shards that it owns.
 *
 * @param hostIds - live hosts
 * @param shard - shard number
 * @returns the host ids, the owner first
 * @example
 * const [owner] = rankShardOwners(['a', 'b', 'c'], 12);
 */
export default function rankShardOwners(hostIds: readonly string[], shard: number): readonly string[] {
  const weighted = hostIds.map((hostId) => ({ hostId, weight: h64(`${shard}/${hostId}`) }));
  return weighted
    .sort((a, b) => {
      if (a.weight === b.weight) {
        return a.hostId < b.hostId ? -1 : 1;
      }
      return a.weight > b.weight ? -1 : 1;
    })
    .map(({ hostId }) => hostId);
}
