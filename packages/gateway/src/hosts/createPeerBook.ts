import type { LinkPeer } from '@bergamotcove/transport';

/** What this host keeps for other hosts until they give it up or their links end. */
export interface PeerBook<Value> {
  set(peer: LinkPeer, key: string, value: Value): void;
  delete(peer: LinkPeer, key: string): void;
  /** Entries of all peers. */
  readonly size: number;
}

/** Options of {@link createPeerBook}. */
export interface PeerBookOptions<Value> {
  /** Entries that are kept for one peer; the oldest ones are dropped. */
  readonly maxEntries: number;
  /** Called with what is left of a peer when its link ends. */
  readonly onGone: (entries: ReadonlyMap<string, Value>) => void;
}

/**
 * Creates the book.
 *
 * @param options - limit, and receiver of what lost peers leave behind
 * @returns the book
 */
export default function createPeerBook<Value>({ maxEntries, onGone }: PeerBookOptions<Value>): PeerBook<Value> {
  const byPeer = new Map<LinkPeer, Map<string, Value>>();

  const find = (peer: LinkPeer): Map<string, Value> => {
    const known = byPeer.get(peer);
    if (known !== undefined) {
      return known;
    }
    const entries = new Map<string, Value>();
    byPeer.set(peer, entries);
    peer.onClose(() => {
      byPeer.delete(peer);
      onGone(entries);
    });
    return entries;
  };

  return {
    set: (peer, key, value) => {
      const entries = find(peer);
      entries.set(key, value);
      if (entries.size > maxEntries) {
        entries.delete(entries.keys().next().value as string);
      }
    },
    delete: (peer, key) => {
      byPeer.get(peer)?.delete(key);
    },
    get size() {
      return [...byPeer.values()].reduce((sum, entries) => sum + entries.size, 0);
    },
  };
}
