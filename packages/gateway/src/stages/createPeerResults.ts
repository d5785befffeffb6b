import type { LinkPeer } from '@bergamotcove/transport';
import createPeerMap from '../hosts/createPeerMap.js';
import type { ReleasedResults, StageJobResult } from './messages.js';

/** Results that other hosts hold at the servers of this host's pools. */
export interface PeerResults {
  /** Records the results of a job of a host; returns its outcome unchanged. */
  add(peer: LinkPeer, pool: string, result: StageJobResult): StageJobResult;
  /** Removes results that the host has released. */
  remove(peer: LinkPeer, released: ReleasedResults): void;
}

/** Limit on the results that are recorded for one host; older ones have expired at their servers. */
const MAX_RESULTS_PER_PEER = 2_000;

/**
 * Creates the record of other hosts' results. When the link to a host ends, its results are released: a host that died
 * cannot do it, and the results would use memory of the servers until they expire.
 *
 * @param release - releases results
 * @returns the record
 */
export default function createPeerResults(release: (released: ReleasedResults) => void): PeerResults {
  const poolsByResult = createPeerMap<string>({
    maxEntries: MAX_RESULTS_PER_PEER,
    onGone: (held) =>
      new Set(held.values()).forEach((pool) => {
        release({ pool, results: [...held].flatMap(([result, resultPool]) => (resultPool === pool ? [result] : [])) });
      }),
  });

  return {
    add: (peer, pool, result) => {
      if (result.type === 'done') {
        result.results.forEach((handle) => poolsByResult.set(peer, handle, pool));
      }
      return result;
    },
    remove: (peer, { results }) => results.forEach((handle) => poolsByResult.delete(peer, handle)),
  };
}
