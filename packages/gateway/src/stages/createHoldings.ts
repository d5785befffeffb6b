import type { LinkPeer } from '@bergamotcove/transport';
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
  const byPeer = new Map<LinkPeer, Map<string, string>>();

  const find = (peer: LinkPeer): Map<string, string> => {
    const known = byPeer.get(peer);
    if (known !== undefined) {
      return known;
    }
    const held = new Map<string, string>();
    byPeer.set(peer, held);
    peer.onClose(() => {
      byPeer.delete(peer);
      new Set(held.values()).forEach((pool) => {
        release({ pool, results: [...held].flatMap(([result, of]) => (of === pool ? [result] : [])) });
      });
    });
    return held;
  };

  return {
    note: (peer, pool, result) => {
      if (result.type === 'done') {
        const held = find(peer);
        result.results.forEach((one) => held.set(one, pool));
        [...held.keys()].slice(0, Math.max(0, held.size - MAX_RESULTS)).forEach((one) => held.delete(one));
      }
      return result;
    },
    forget: (peer, { results }) => {
      const held = find(peer);
      results.forEach((one) => held.delete(one));
    },
  };
}
