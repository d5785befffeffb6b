import xxhash from 'xxhash-wasm';

const { h64 } = await xxhash();

/**
 * Ranks hosts by rendezvous hashing. All hosts with the same view get the same order, and the loss of one host moves
 * only what was assigned to that host.
 *
 * @param hostIds - ids of the hosts
 * @param key - name of the task or item to assign
 * @returns the ids, highest rank first
 * @example
 * const [watcher, secondWatcher] = rankByRendezvous(hostIds, 'config-watch');
 */
export default function rankByRendezvous(hostIds: readonly string[], key: string): readonly string[] {
  const scored = hostIds.map((hostId) => ({ hostId, score: h64(`${key}\0${hostId}`) }));
  return scored
    .sort((a, b) => {
      if (a.score === b.score) {
        return a.hostId < b.hostId ? -1 : 1;
      }
      return a.score > b.score ? -1 : 1;
    })
    .map(({ hostId }) => hostId);
}
