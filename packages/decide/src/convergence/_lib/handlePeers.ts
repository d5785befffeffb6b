import type { DocumentVersion, PeerAddress, VersionedDocument } from '@bergamotcove/protocol';
import {
  DIGEST_SETTLE_MS,
  DIGEST_MUTE_MS,
  OFFER_PULL_DELAY_MS,
  MIN_PULL_INTERVAL_MS,
  UNREADY_PULL_DELAY_MS,
} from '../constants.js';
import type { ConvergenceEvent } from '../types.js';
import type Draft from './Draft.js';
import distribute from './distribute.js';

/** Applies documents from a peer. An older document is ignored: the peer lags behind, which is not a fault. */
export function handleDocuments(draft: Draft, from: PeerAddress, documents: readonly VersionedDocument[]): void {
  documents.forEach((document) => {
    if (draft.applyIfNewer(document) === 'conflict') {
      draft.report('hash-conflict', document.service, document.version, from.hostId);
    }
  });
  distribute(draft, from);
}

const isNewer = (draft: Draft, { service, version }: DocumentVersion): boolean =>
  version > (draft.findDocument(service)?.version ?? 0);

/** Schedules a pull of the newer versions that a peer offers; a push may arrive before it. */
export function handleOffer(draft: Draft, from: PeerAddress, offered: readonly DocumentVersion[]): void {
  const versions = offered.filter((item) => isNewer(draft, item));
  if (versions.length > 0) {
    const dueMs = draft.nowMs + OFFER_PULL_DELAY_MS * (0.5 + draft.random());
    draft.set({ offers: [...draft.state.offers, { from, versions, dueMs }] });
  }
}

/** Pulls the offered documents whose delay has passed and that have not arrived by a push. */
export function pullOffers(draft: Draft): void {
  const due = draft.state.offers.filter(({ dueMs }) => dueMs <= draft.nowMs);
  draft.set({ offers: draft.state.offers.filter((offer) => !due.includes(offer)) });
  due.forEach(({ from, versions }) => {
    const services = versions.filter((item) => isNewer(draft, item)).map(({ service }) => service);
    if (services.length > 0) {
      draft.addAction({ type: 'pull', from, services });
    }
  });
}

/** Starts a pull of all documents of which a peer has a newer version. */
export function startPull(draft: Draft, from: PeerAddress, peerDigest?: string): void {
  draft.set({
    pullStartedMs: draft.nowMs,
    nextPullMs: draft.nowMs + MIN_PULL_INTERVAL_MS * (1 + draft.random()),
  });
  draft.addAction({ type: 'pull', from, ...(peerDigest === undefined ? {} : { peerDigest }) });
}

/** Pulls from a peer whose digest differs, once the own digest has been stable for `DIGEST_SETTLE_MS`. */
export function handleDigest(draft: Draft, from: PeerAddress, digest: string): void {
  const { state, nowMs } = draft;
  const isStable = nowMs - state.digestSinceMs >= DIGEST_SETTLE_MS;
  const isMuted = (state.mutedDigests.get(digest) ?? nowMs) > nowMs;
  if (
    digest !== state.digest &&
    isStable &&
    !isMuted &&
    state.pullStartedMs === undefined &&
    nowMs >= state.nextPullMs
  ) {
    startPull(draft, from, digest);
  }
}

/** Records that the documents were learnt from a peer; for a host that is no watcher, the next read is a slow poll. */
const learnFromPeer = (draft: Draft): void => {
  const { learntFrom, watcherRank } = draft.state;
  draft.setLearntFrom('peer');
  if (learntFrom === undefined && watcherRank === undefined) {
    draft.schedulePoll();
  }
};

/** Applies the answer to a pull and pushes the documents that the peer lacks. */
export function handlePullAnswer(draft: Draft, event: Extract<ConvergenceEvent, { type: 'pull-answered' }>): void {
  const { from, documents, wanted, learnt, peerDigest } = event;
  draft.set({ pullStartedMs: undefined });
  handleDocuments(draft, from, documents);
  if (learnt) {
    learnFromPeer(draft);
  } else if (draft.state.learntFrom === undefined) {
    draft.set({ nextPullMs: draft.nowMs + UNREADY_PULL_DELAY_MS * (1 + draft.random()) });
  }
  const missing = wanted.flatMap((service) => {
    const held = draft.findDocument(service);
    return held === undefined ? [] : [held];
  });
  if (missing.length > 0) {
    draft.addAction({ type: 'push', to: [from], documents: missing });
  } else if (draft.newDocuments().length === 0 && peerDigest !== undefined) {
    draft.set({ mutedDigests: new Map([...draft.state.mutedDigests, [peerDigest, draft.nowMs + DIGEST_MUTE_MS]]) });
  }
}
