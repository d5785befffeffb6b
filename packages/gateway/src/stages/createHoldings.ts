import type { LinkPeer } from '@bergamotcove/transport';
import createPeerBook from '../hosts/createPeerBook.js';
import type { ReleasedResults, StageJobResult } from './messages.js';

/** Results that other hosts hold at the servers of this host's pools. */
export interface Holdings {
  /** A job of the host ended; returns its result. */
  note(peer: LinkPeer, pool: string, result: StageJobResult): StageJobResult;
  /** The host gave results up. */
  forget(peer: LinkPeer, released: ReleasedResults): void;
}

/** Results that are remembered for one host; older ones have expired at their servers. */
const MAX_RESULTS = 2_000;

/**
 * Creates the holdings. When the link to a host ends, its results are given up: a host that died cannot do it, and the
 * room at the servers would be taken until they expire.
 *
 * @param release - gives results up
 * @returns the holdings
 */
export default function createHoldings(release: (released: ReleasedResults) => void): Holdings {
  const pools = createPeerBook<string>({
    maxEntries: MAX_RESULTS,
    onGone: (held) =>
      new Set(held.values()).forEach((pool) => {
        release({ pool, results: [...held].flatMap(([result, of]) => (of === pool ? [result] : [])) });
      }),
  });

  return {
    note: (peer, pool, result) => {
      if (result.type === 'done') {
        result.results.forEach((one) => pools.set(peer, one, pool));
      }
      return result;
    },
    forget: (peer, { results }) => results.forEach((one) => pools.delete(peer, one)),
  };
}
