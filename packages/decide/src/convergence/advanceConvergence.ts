import { exhaustive } from '@bergamotcove/errors';
import type { PeerAddress } from '@bergamotcove/protocol';
import type { Random } from '../routing/types.js';
import Draft from './_lib/Draft.js';
import {
  handleDigest,
  handleDocuments,
  handleOffer,
  handlePullAnswer,
  pullOffers,
  startPull,
} from './_lib/handlePeers.js';
import { handleStoreRead, handleWatchChange } from './_lib/handleStore.js';
import { FIRST_PULL_DELAY_MS, FIRST_READ_DELAY_MS, PULL_TIMEOUT_MS, START_JITTER_MS } from './constants.js';
import type { ConvergenceEvent, ConvergenceState, ConvergenceStep } from './types.js';

/** Probability that an unready host pulls from a watcher of its own failure domain. */
const WATCHER_PULL_PROBABILITY = 0.5;

/** Lets a host that is no watcher pull from its peers first; it reads the store only when they are unready too. */
const delayFirstRead = (draft: Draft): void => {
  const { nextReadMs, startedMs } = draft.state;
  const earliestMs = startedMs + FIRST_READ_DELAY_MS + draft.random() * START_JITTER_MS;
  draft.set({ nextReadMs: Math.max(nextReadMs, earliestMs), nextPullMs: draft.nowMs });
};

/** Picks a peer to pull all documents from: a watcher of the own failure domain, a host of the region, or any other. */
const pickPullPeer = (draft: Draft): PeerAddress | undefined => {
  const { self, hosts } = draft.state;
  const others = hosts.filter(({ hostId }) => hostId !== self.hostId);
  const watchers = draft.watchersOf(self.failureDomain).filter(({ hostId }) => hostId !== self.hostId);
  const sameRegion = others.filter(({ region }) => region === self.region);
  // Watchers get documents first, but during a store outage any host of the region may be the only one that has them.
  const preferred = draft.random() < WATCHER_PULL_PROBABILITY ? watchers : sameRegion;
  return draft.pick(preferred) ?? draft.pick(sameRegion) ?? draft.pick(others);
};

const applyHosts = (draft: Draft, hosts: readonly PeerAddress[]): void => {
  const { self, watch } = draft.state;
  draft.set({ hosts });
  const rank = draft.watchersOf(self.failureDomain).findIndex(({ hostId }) => hostId === self.hostId);
  draft.set({ watcherRank: rank < 0 ? undefined : rank });
  if (rank < 0 && draft.state.learntFrom === undefined) {
    delayFirstRead(draft);
  }
  if (rank < 0 && watch !== 'off') {
    draft.set({ watch: 'off' });
    draft.addAction({ type: 'stop-watch' });
    draft.schedulePoll();
  } else if (rank >= 0 && watch === 'off') {
    draft.set({ nextReadMs: Math.min(draft.state.nextReadMs, draft.nowMs + draft.random() * FIRST_PULL_DELAY_MS) });
  }
};

const readWhenDue = (draft: Draft): void => {
  const { nextReadMs, watcherRank, watch } = draft.state;
  if (draft.nowMs < nextReadMs) {
    return;
  }
  // The next read is scheduled when this one ends; until then no other read may start.
  draft.set({ nextReadMs: Infinity });
  if (watcherRank !== undefined && watch === 'off') {
    draft.set({ watch: 'starting' });
    draft.addAction({ type: 'start-watch' });
  } else {
    draft.addAction({ type: 'read-store' });
  }
};

const tick = (draft: Draft): void => {
  const { state, nowMs } = draft;
  if (state.pullStartedMs !== undefined && nowMs - state.pullStartedMs > PULL_TIMEOUT_MS) {
    draft.set({ pullStartedMs: undefined });
  }
  readWhenDue(draft);
  pullOffers(draft);
  const unready = state.learntFrom === undefined && draft.state.pullStartedMs === undefined;
  if (unready && nowMs >= state.nextPullMs) {
    const peer = pickPullPeer(draft);
    if (peer !== undefined) {
      startPull(draft, peer);
    }
  }
};

const handleReadFailure = (draft: Draft): void => {
  if (draft.state.watch === 'on') {
    draft.addAction({ type: 'stop-watch' });
  }
  draft.set({ watch: 'off' });
  draft.scheduleRetry();
};

/** Resets reads and pulls after a pause: those in progress may never be answered, and newer versions may exist. */
const resumeAfterPause = (draft: Draft): void => {
  if (draft.state.watch !== 'off') {
    draft.set({ watch: 'off' });
    draft.addAction({ type: 'stop-watch' });
  }
  draft.set({
    pullStartedMs: undefined,
    nextPullMs: draft.nowMs,
    nextReadMs: draft.nowMs + draft.random() * FIRST_PULL_DELAY_MS,
  });
};

/**
 * Advances the document distribution of one host by one event. A document changes only to a higher version.
 *
 * @param state - state before the event
 * @param event - the event
 * @param nowMs - monotonic time
 * @param random - source of random numbers
 * @returns the new state and the actions for the interpreter
 * @example
 * const { state: next, actions } = advanceConvergence(state, { type: 'tick' }, clock.monotonicMs(), Math.random);
 */
export default function advanceConvergence(
  state: ConvergenceState,
  event: ConvergenceEvent,
  nowMs: number,
  random: Random,
): ConvergenceStep {
  const draft = new Draft(state, nowMs, random);
  switch (event.type) {
    case 'tick':
      tick(draft);
      break;
    case 'hosts-changed':
      applyHosts(draft, event.hosts);
      break;
    case 'store-read':
      handleStoreRead(draft, event.documents, event.startedMs);
      break;
    case 'watch-started':
      draft.set({ watch: draft.state.watch === 'starting' ? 'on' : draft.state.watch });
      break;
    case 'watch-changed':
      handleWatchChange(draft, event.document);
      break;
    case 'store-failed':
    case 'watch-lost':
      handleReadFailure(draft);
      break;
    case 'pushed':
      handleDocuments(draft, event.from, event.documents);
      break;
    case 'offered':
      handleOffer(draft, event.from, event.versions);
      break;
    case 'pull-answered':
      handlePullAnswer(draft, event);
      break;
    case 'pull-failed':
      draft.set({ pullStartedMs: undefined });
      break;
    case 'digest-heard':
      handleDigest(draft, event.from, event.digest);
      break;
    case 'woke':
      resumeAfterPause(draft);
      break;
    default:
      exhaustive(event);
  }
  return draft.finish();
}
