import type { DocumentVersion, PeerAddress, VersionedDocument } from '@bergamotcove/protocol';
import { DIGEST_SETTLE_MS, MUTE_MS, OFFER_WAIT_MS, PULL_INTERVAL_MS, UNREADY_PULL_MS } from '../constants.js';
import type { ConvergenceEvent } from '../types.js';
import type Draft from './Draft.js';
import distribute from './distribute.js';

/** Applies documents of a peer; older ones are a lagging peer and no fault. */
export function handleDocuments(draft: Draft, from: PeerAddress, documents: readonly VersionedDocument[]): void {
  documents.forEach((document) => {
    if (draft.offer(document) === 'conflict') {
      draft.report('hash-conflict', document.service, document.version, from.hostId);
    }
  });
  distribute(draft, from);
}

const lacks = (draft: Draft, { service, version }: DocumentVersion): boolean =>
  version > (draft.held(service)?.version ?? 0);

/** Plans a pull of what a peer offers, unless a push brings it first. */
export function handleOffer(draft: Draft, from: PeerAddress, offered: readonly DocumentVersion[]): void {
  const versions = offered.filter((item) => lacks(draft, item));
  if (versions.length > 0) {
    const dueMs = draft.nowMs + OFFER_WAIT_MS * (0.5 + draft.random());
    draft.set({ offers: [...draft.state.offers, { from, versions, dueMs }] });
  }
}

/** Pulls what was offered and did not arrive. */
export function pullOffers(draft: Draft): void {
  const due = draft.state.offers.filter(({ dueMs }) => dueMs <= draft.nowMs);
  draft.set({ offers: draft.state.offers.filter((offer) => !due.includes(offer)) });
  due.forEach(({ from, versions }) => {
    const services = versions.filter((item) => lacks(draft, item)).map(({ service }) => service);
    if (services.length > 0) {
      draft.act({ type: 'pull', from, services });
    }
  });
}

/** Starts a pull of everything that a peer has newer. */
export function startPull(draft: Draft, from: PeerAddress, peerDigest?: string): void {
  draft.set({
    pullSinceMs: draft.nowMs,
    nextPullMs: draft.nowMs + PULL_INTERVAL_MS * (1 + draft.random()),
  });
  draft.act({ type: 'pull', from, ...(peerDigest === undefined ? {} : { peerDigest }) });
}

/** Pulls from a peer whose documents differ, once the own ones stand still. */
export function handleDigest(draft: Draft, from: PeerAddress, digest: string): void {
  const { state, nowMs } = draft;
  const settled = nowMs - state.digestSinceMs >= DIGEST_SETTLE_MS;
  const muted = (state.muted.get(digest) ?? nowMs) > nowMs;
  if (digest !== state.digest && settled && !muted && state.pullSinceMs === undefined && nowMs >= state.nextPullMs) {
    startPull(draft, from, digest);
  }
}

/** Ends the first learning; the next read of the store is an ordinary slow poll. */
const learnFromPeer = (draft: Draft): void => {
  const { learntFrom, watcherRank } = draft.state;
  draft.learn('peer');
  if (learntFrom === undefined && watcherRank === undefined) {
    draft.planPoll();
  }
};

/** Applies the answer to a pull and pushes what the peer lacks. */
export function handlePullAnswer(draft: Draft, event: Extract<ConvergenceEvent, { type: 'pull-answered' }>): void {
  const { from, documents, wanted, learnt, peerDigest } = event;
  draft.set({ pullSinceMs: undefined });
  handleDocuments(draft, from, documents);
  if (learnt) {
    learnFromPeer(draft);
  } else if (draft.state.learntFrom === undefined) {
    draft.set({ nextPullMs: draft.nowMs + UNREADY_PULL_MS * (1 + draft.random()) });
  }
  const missing = wanted.flatMap((service) => {
    const held = draft.held(service);
    return held === undefined ? [] : [held];
  });
  if (missing.length > 0) {
    draft.act({ type: 'push', to: [from], documents: missing });
  } else if (draft.newDocuments().length === 0 && peerDigest !== undefined) {
    draft.set({ muted: new Map([...draft.state.muted, [peerDigest, draft.nowMs + MUTE_MS]]) });
  }
}
