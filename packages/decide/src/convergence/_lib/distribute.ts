import type { PeerAddress } from '@bergamotcove/protocol';
import type Draft from './Draft.js';

/** Lists the watchers of the other failure domains, which distribute documents within their own. */
const listRemoteWatchers = (draft: Draft): readonly PeerAddress[] => {
  const { self, hosts } = draft.state;
  const names = [...new Set(hosts.map((host) => host.failureDomain))].filter((name) => name !== self.failureDomain);
  return names.flatMap((name) => draft.watchersOf(name));
};

/** Pushes new documents to the own watchers if they came from the store or from another failure domain. */
const pushToWatchers = (draft: Draft, source: 'store' | PeerAddress): void => {
  const { self } = draft.state;
  if (source === 'store' || source.failureDomain !== self.failureDomain) {
    draft.addAction({ type: 'push', to: draft.watchersOf(self.failureDomain), documents: draft.newDocuments() });
  }
};

/** Splits the neighbours into those that this watcher pushes to and the rest; all watchers compute the same split. */
const splitNeighbours = (
  draft: Draft,
): { readonly own: readonly PeerAddress[]; readonly others: readonly PeerAddress[] } => {
  const { self, watcherRank } = draft.state;
  const watchers = draft.watchersOf(self.failureDomain);
  const isWatcher = ({ hostId }: PeerAddress): boolean => watchers.some((watcher) => watcher.hostId === hostId);
  const hosts = [...draft.neighbours()].sort((a, b) => (a.hostId < b.hostId ? -1 : 1));
  const nonWatchers = hosts.filter((host) => !isWatcher(host));
  const own = nonWatchers.filter((_, index) => index % watchers.length === watcherRank);
  return { own, others: hosts.filter((host) => !own.includes(host)) };
};

/**
 * Distributes the documents that came into force in this event. Each watcher pushes documents to its half of the
 * failure domain and offers only their versions to the other half. A document thus crosses the network twice only if a
 * push failed, and no watcher sends 36 documents a change at the target size. Documents from the store are also offered
 * to the watchers of the other failure domains, which may be unable to reach the store.
 */
export default function distribute(draft: Draft, source: 'store' | PeerAddress): void {
  const documents = draft.newDocuments();
  const { watcherRank } = draft.state;
  if (documents.length === 0) {
    return;
  }
  if (watcherRank === undefined) {
    pushToWatchers(draft, source);
    return;
  }
  const versions = documents.map(({ service, version, hash }) => ({ service, version, hash }));
  const sourceId = source === 'store' ? undefined : source.hostId;
  const { own, others } = splitNeighbours(draft);
  const push = own.filter((host) => host.hostId !== sourceId);
  const offer = [...others, ...(source === 'store' ? listRemoteWatchers(draft) : [])].filter(
    (host) => host.hostId !== sourceId,
  );
  if (push.length > 0) {
    draft.addAction({ type: 'push', to: push, documents });
  }
  if (offer.length > 0) {
    draft.addAction({ type: 'offer', to: offer, versions });
  }
}
