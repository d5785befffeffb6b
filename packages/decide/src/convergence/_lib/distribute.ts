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

/**
 * Passes on what this event put in force. The first watcher pushes documents to its failure domain; the second one
 * only offers their versions, so that a document crosses the network twice only if the first watcher failed. What
 * came from the store is offered to the watchers of the other failure domains, which may not reach the store.
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
  const neighbours = draft.neighbours().filter((host) => host.hostId !== sourceId);
  if (watcherRank === 0 && neighbours.length > 0) {
    draft.act({ type: 'push', to: neighbours, documents });
  } else if (neighbours.length > 0) {
    draft.act({ type: 'offer', to: neighbours, versions });
  }
  const remote = source === 'store' ? remoteWatchers(draft) : [];
  if (remote.length > 0) {
    draft.act({ type: 'offer', to: remote, versions });
  }
}
