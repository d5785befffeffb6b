import type { PeerAddress } from '@bergamotcove/protocol';
import type Draft from './Draft.js';

/** Watchers of the other failure domains; they distribute inside their own. */
const remoteWatchers = (draft: Draft): readonly PeerAddress[] => {
  const { self, hosts } = draft.state;
  const names = [...new Set(hosts.map((host) => host.failureDomain))].filter((name) => name !== self.failureDomain);
  return names.flatMap((name) => draft.watchersOf(name));
};

/** A host that learnt a document in another way than from its watchers gives it to them. */
const passToWatchers = (draft: Draft, source: 'store' | PeerAddress): void => {
  const { self } = draft.state;
  if (source === 'store' || source.failureDomain !== self.failureDomain) {
    draft.act({ type: 'push', to: draft.watchersOf(self.failureDomain), documents: draft.newDocuments() });
  }
};

/** Hosts of the own failure domain by the watcher that pushes to them; both watchers divide them alike. */
const divide = (draft: Draft): { readonly own: readonly PeerAddress[]; readonly others: readonly PeerAddress[] } => {
  const { self, watcherRank } = draft.state;
  const watchers = draft.watchersOf(self.failureDomain);
  const isWatcher = ({ hostId }: PeerAddress): boolean => watchers.some((watcher) => watcher.hostId === hostId);
  const hosts = [...draft.neighbours()].sort((a, b) => (a.hostId < b.hostId ? -1 : 1));
  const plain = hosts.filter((host) => !isWatcher(host));
  const own = plain.filter((_, index) => index % watchers.length === watcherRank);
  return { own, others: hosts.filter((host) => !own.includes(host)) };
};

/**
 * Passes on what this event put in force. Each watcher pushes documents to its half of the failure domain and only
 * offers their versions to the other half, so that a document crosses the network twice only if a push failed, and no
 * watcher sends 36 documents a change at the target size. What came from the store is offered to the watchers of the
 * other failure domains, which may not reach the store.
 */
export default function distribute(draft: Draft, source: 'store' | PeerAddress): void {
  const documents = draft.newDocuments();
  const { watcherRank } = draft.state;
  if (documents.length === 0) {
    return;
  }
  if (watcherRank === undefined) {
    passToWatchers(draft, source);
    return;
  }
  const versions = documents.map(({ service, version, hash }) => ({ service, version, hash }));
  const sourceId = source === 'store' ? undefined : source.hostId;
  const { own, others } = divide(draft);
  const push = own.filter((host) => host.hostId !== sourceId);
  const offer = [...others, ...(source === 'store' ? remoteWatchers(draft) : [])].filter(
    (host) => host.hostId !== sourceId,
  );
  if (push.length > 0) {
    draft.act({ type: 'push', to: push, documents });
  }
  if (offer.length > 0) {
    draft.act({ type: 'offer', to: offer, versions });
  }
}
