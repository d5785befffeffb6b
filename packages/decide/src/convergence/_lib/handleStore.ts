import type { VersionedDocument } from '@bergamotcove/protocol';
import type Draft from './Draft.js';
import distribute from './distribute.js';

/** Longest wait before a full read checks a lower version that a watch delivered. */
const CONFIRM_MS = 1_000;

/** Compares one head of the store with the document in force. */
const compareHead = (draft: Draft, document: VersionedDocument, startedMs: number): void => {
  const held = draft.held(document.service);
  const result = draft.offer(document);
  if (result === 'same') {
    draft.clear(document.service);
  } else if (result === 'conflict') {
    draft.report('hash-conflict', document.service, document.version, 'store');
  } else if (result === 'older' && held !== undefined && held.appliedMs < startedMs) {
    // A read that began before the document came into force may rightly show an older head.
    draft.report('store-regressed', document.service, document.version, 'store');
  }
};

/** Applies all heads of the store. */
export function handleStoreRead(draft: Draft, documents: readonly VersionedDocument[], startedMs: number): void {
  const offered = new Set(documents.map(({ service }) => service));
  draft
    .heldServices()
    .filter((service) => !offered.has(service) && (draft.held(service)?.appliedMs ?? startedMs) < startedMs)
    .forEach((service) => draft.report('store-regressed', service, 0, 'store'));
  documents.forEach((document) => compareHead(draft, document, startedMs));
  draft.learn('store');
  draft.planPoll();
  distribute(draft, 'store');
}

/** Applies one change that the watch delivered. */
export function handleWatchChange(draft: Draft, document: VersionedDocument): void {
  const result = draft.offer(document);
  if (result === 'conflict') {
    draft.report('hash-conflict', document.service, document.version, 'store');
  } else if (result === 'older') {
    // A watch that lags behind pushes delivers older versions; only a full read tells whether the store went back.
    draft.set({ nextReadMs: Math.min(draft.state.nextReadMs, draft.nowMs + CONFIRM_MS * (0.5 + draft.random() / 2)) });
  }
  distribute(draft, 'store');
}
