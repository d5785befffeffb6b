import type { LinkPeer } from '@bergamotcove/transport';
import createPeerBook from '../hosts/createPeerBook.js';
import type { ReleasedResults, StageJobResult } from './messages.js';

/** Results that other hosts hold at the servers of this host's pools. */
export interface PeerResults {
  /** A job of the host ended; returns its result. */
  add(peer: LinkPeer, pool: string, result: StageJobResult): StageJobResult;
  /** The host gave results up. */
  remove(peer: LinkPeer, released: ReleasedResults): void;
}

/** Results that are remembered for one host; older ones have expired at their servers. */
const MAX_RESULTS_PER_PEER = 2_000;

/**
 * Creates the holdings. When the link to a host ends, its results are given up: a host that died cannot do it, and the
 * room at the servers would be taken until they expire.
 *
 * @param release - gives results up
 * @returns the holdings
 */
export default function createPeerResults(release: (released: ReleasedResults) => void): PeerResults {
  const poolsByResult = createPeerBook<string>({
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
