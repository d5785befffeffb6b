import type { LinkPeer } from '@bergamotcove/transport';

/** Entries that this host keeps for other hosts until these delete them or their links close. */
export interface PeerMap<Value> {
  set(peer: LinkPeer, key: string, value: Value): void;
  delete(peer: LinkPeer, key: string): void;
  /** Number of entries of all peers. */
  readonly size: number;
}

/** Options of {@link createPeerMap}. */
export interface PeerMapOptions<Value> {
  /** Number of entries that are kept for one peer; the oldest ones are dropped beyond it. */
  readonly maxEntries: number;
  /** Called with the remaining entries of a peer when its link closes. */
  readonly onGone: (entries: ReadonlyMap<string, Value>) => void;
}

/**
 * Creates an empty set of entries by peer and key.
 *
 * @param options - limit, and receiver of the entries of lost peers
 * @returns the entries
 */
export default function createPeerMap<Value>({ maxEntries, onGone }: PeerMapOptions<Value>): PeerMap<Value> {
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
