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
import { LEARN_FROM_PEER_MS, LEARN_FROM_STORE_MS, PULL_TIMEOUT_MS, START_SPREAD_MS } from './constants.js';
import type { ConvergenceEvent, ConvergenceState, ConvergenceStep } from './types.js';

/** Share of the first pulls that go to a watcher of the own failure domain. */
const WATCHER_CHANCE = 0.5;

/** A host that is no watcher asks its peers first and reads the store only when they do not help. */
const waitForPeers = (draft: Draft): void => {
  const { nextReadMs, startedMs } = draft.state;
  const earliestMs = startedMs + LEARN_FROM_STORE_MS + draft.random() * START_SPREAD_MS;
  draft.set({ nextReadMs: Math.max(nextReadMs, earliestMs), nextPullMs: draft.nowMs });
};

/** A peer to learn the documents from: a watcher of the own failure domain, a host of the region, or any other. */
const pickTeacher = (draft: Draft): PeerAddress | undefined => {
  const { self, hosts } = draft.state;
  const others = hosts.filter(({ hostId }) => hostId !== self.hostId);
  const watchers = draft.watchersOf(self.failureDomain).filter(({ hostId }) => hostId !== self.hostId);
  const near = others.filter(({ region }) => region === self.region);
  // Watchers are first to know, but in an outage of the store any host of the region may be the one that knows.
  const preferred = draft.random() < WATCHER_CHANCE ? watchers : near;
  return draft.pick(preferred) ?? draft.pick(near) ?? draft.pick(others);
};

const changeHosts = (draft: Draft, hosts: readonly PeerAddress[]): void => {
  const { self, watch } = draft.state;
  draft.set({ hosts });
  const rank = draft.watchersOf(self.failureDomain).findIndex(({ hostId }) => hostId === self.hostId);
  draft.set({ watcherRank: rank < 0 ? undefined : rank });
  if (rank < 0 && draft.state.learntFrom === undefined) {
    waitForPeers(draft);
  }
  if (rank < 0 && watch !== 'off') {
    draft.set({ watch: 'off' });
    draft.act({ type: 'stop-watch' });
    draft.planPoll();
  } else if (rank >= 0 && watch === 'off') {
    draft.set({ nextReadMs: Math.min(draft.state.nextReadMs, draft.nowMs + draft.random() * LEARN_FROM_PEER_MS) });
  }
};

const readWhenDue = (draft: Draft): void => {
  const { nextReadMs, watcherRank, watch } = draft.state;
  if (draft.nowMs < nextReadMs) {
    return;
  }
  // The read is planned again when it ends; until then nothing else may start one.
  draft.set({ nextReadMs: Infinity });
  if (watcherRank !== undefined && watch === 'off') {
    draft.set({ watch: 'starting' });
    draft.act({ type: 'start-watch' });
  } else {
    draft.act({ type: 'read-store' });
  }
};

const tick = (draft: Draft): void => {
  const { state, nowMs } = draft;
  if (state.pullSinceMs !== undefined && nowMs - state.pullSinceMs > PULL_TIMEOUT_MS) {
    draft.set({ pullSinceMs: undefined });
  }
  readWhenDue(draft);
  pullOffers(draft);
  const unready = state.learntFrom === undefined && draft.state.pullSinceMs === undefined;
  if (unready && nowMs >= state.nextPullMs) {
    const peer = pickTeacher(draft);
    if (peer !== undefined) {
      startPull(draft, peer);
    }
  }
};

const failRead = (draft: Draft): void => {
  if (draft.state.watch === 'on') {
    draft.act({ type: 'stop-watch' });
  }
  draft.set({ watch: 'off' });
  draft.planRetry();
};

/** After a pause an open read or pull may never answer, and the store or the peers have moved on. */
const wake = (draft: Draft): void => {
  if (draft.state.watch !== 'off') {
    draft.set({ watch: 'off' });
    draft.act({ type: 'stop-watch' });
  }
  draft.set({
    pullSinceMs: undefined,
    nextPullMs: draft.nowMs,
    nextReadMs: draft.nowMs + draft.random() * LEARN_FROM_PEER_MS,
  });
};

/**
 * Advances the configuration of one host by one event. A document changes only to a higher version.
 *
 * @param state - configuration
 * @param event - what happened
 * @param nowMs - monotonic time
 * @param random - source of random numbers
 * @returns the new state and what the interpreter has to do
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
      changeHosts(draft, event.hosts);
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
      failRead(draft);
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
      draft.set({ pullSinceMs: undefined });
      break;
    case 'digest-heard':
      handleDigest(draft, event.from, event.digest);
      break;
    case 'woke':
      wake(draft);
      break;
    default:
      exhaustive(event);
  }
  return draft.finish();
}
