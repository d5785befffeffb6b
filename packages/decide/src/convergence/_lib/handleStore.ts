import type { VersionedDocument } from '@bergamotcove/protocol';
import type Draft from './Draft.js';
import distribute from './distribute.js';

/** Longest delay of the full read that checks a lower version delivered by a watch. */
const CONFIRM_MS = 1_000;

/** Applies the head (latest version) of one document in the store, and reports a conflict or a lower version. */
const applyHead = (draft: Draft, document: VersionedDocument, startedMs: number): void => {
  const held = draft.findDocument(document.service);
  const result = draft.applyIfNewer(document);
  if (result === 'same') {
    draft.clear(document.service);
  } else if (result === 'conflict') {
    draft.report('hash-conflict', document.service, document.version, 'store');
  } else if (result === 'older' && held !== undefined && held.appliedMs < startedMs) {
    // Only a read that began after the document came into force must show it.
    draft.report('store-regressed', document.service, document.version, 'store');
  }
};

/** Applies a full read of the store; a service that is missing in it counts as version zero. */
export function handleStoreRead(draft: Draft, documents: readonly VersionedDocument[], startedMs: number): void {
  const offered = new Set(documents.map(({ service }) => service));
  draft
    .listServices()
    .filter((service) => !offered.has(service) && (draft.findDocument(service)?.appliedMs ?? startedMs) < startedMs)
    .forEach((service) => draft.report('store-regressed', service, 0, 'store'));
  documents.forEach((document) => applyHead(draft, document, startedMs));
  draft.setLearntFrom('store');
  draft.schedulePoll();
  distribute(draft, 'store');
}

/** Applies one change from the watch of the store. */
export function handleWatchChange(draft: Draft, document: VersionedDocument): void {
  const result = draft.applyIfNewer(document);
  if (result === 'conflict') {
    draft.report('hash-conflict', document.service, document.version, 'store');
  } else if (result === 'older') {
    // A watch that lags behind the pushes of peers delivers older versions; only a full read shows whether the store
    // itself went back to an older version.
    draft.set({ nextReadMs: Math.min(draft.state.nextReadMs, draft.nowMs + CONFIRM_MS * (0.5 + draft.random() / 2)) });
  }
  distribute(draft, 'store');
}
