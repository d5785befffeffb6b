import { exhaustive } from '@bergamotcove/errors';
import type { Random } from '../routing/types.js';
import Draft from './_lib/Draft.js';
import handleMessage from './_lib/handleMessage.js';
import { runRepresentative, trackDomains } from './_lib/probeDomains.js';
import { checkProbes, expireSuspicions, pingSuspects, probeNext, pingDeadHost } from './_lib/probeNeighbours.js';
import {
  FORGET_AFTER_MS,
  PAUSE_THRESHOLD_MS,
  PROBE_PERIOD_MS,
  SYNC_BASE_HOSTS,
  SYNC_INTERVAL_MS,
} from './constants.js';
import type { ListedPeer, MembershipEvent, MembershipState, MembershipStep } from './types.js';

/** Restarts probes and suspicions after a pause of this host, in which it could not receive what its peers sent. */
const resumeAfterPause = (draft: Draft, pausedMs: number): void => {
  draft.addAction({ type: 'woke', pausedMs });
  draft.probes.clear();
  draft.relays.clear();
  draft.index.reachable
    .filter(({ state }) => state === 'suspect')
    .forEach((member) => draft.putMember({ ...member, sinceMs: draft.nowMs }));
  [...draft.domains].forEach(([name, view]) =>
    draft.domains.set(name, { ...view, heardMs: draft.nowMs, sinceMs: draft.nowMs }),
  );
  draft.set({ nextSyncMs: draft.nowMs });
};

const removeExpired = (draft: Draft): void => {
  draft.index.gone
    .filter(({ listed, sinceMs }) => !listed && draft.nowMs - sinceMs > FORGET_AFTER_MS)
    .forEach(({ host }) => draft.removeMember(host.hostId));
};

const syncWhenDue = (draft: Draft): void => {
  if (draft.nowMs >= draft.state.nextSyncMs) {
    const meanMs = SYNC_INTERVAL_MS * Math.max(1, draft.members.size / SYNC_BASE_HOSTS);
    // The first interval is random from zero on, so that hosts that started together do not sync at the same time.
    const factor = draft.state.synced ? 0.5 + draft.random() : draft.random();
    draft.set({ nextSyncMs: draft.nowMs + meanMs * factor, synced: true });
    draft.draw(draft.liveMembers(), 1).forEach(({ host }) => draft.addAction({ type: 'sync', peer: host }));
  }
};

const tick = (draft: Draft): void => {
  const gapMs = draft.nowMs - draft.state.lastTickMs;
  draft.set({ lastTickMs: draft.nowMs });
  if (gapMs > PAUSE_THRESHOLD_MS) {
    resumeAfterPause(draft, gapMs);
  }
  checkProbes(draft);
  expireSuspicions(draft);
  if (draft.state.forwardDue) {
    draft.forward();
  }
  if (draft.nowMs >= draft.state.nextPeriodMs) {
    draft.set({ nextPeriodMs: draft.nowMs + PROBE_PERIOD_MS });
    trackDomains(draft);
    probeNext(draft);
    pingSuspects(draft);
    runRepresentative(draft);
    pingDeadHost(draft);
    removeExpired(draft);
    syncWhenDue(draft);
  }
};

const applyListed = (draft: Draft, { host, leaving }: ListedPeer): void => {
  const known = draft.members.get(host.hostId);
  const incarnation = known?.incarnation ?? 0;
  draft.applyUpdate({ hostId: host.hostId, state: leaving ? 'leaving' : 'alive', incarnation, host }, 'list');
  const member = draft.members.get(host.hostId);
  // The host list has the new address of a restarted host before a message from it arrives.
  const isGone = member?.state === 'dead' || member?.state === 'left';
  const address = isGone ? host : member?.host;
  if (
    member !== undefined &&
    address !== undefined &&
    (!member.listed || member.listedLeaving !== leaving || address !== member.host)
  ) {
    draft.putMember({ ...member, listed: true, listedLeaving: leaving, host: address });
  }
};

/**
 * Applies the host list as seeds: it adds hosts and marks leaving ones, but never declares a host dead. A host that the
 * list has dropped is probed, and a missing ack then declares it dead.
 */
const applyList = (draft: Draft, peers: readonly ListedPeer[]): void => {
  draft.set({ listedLeaving: peers.some(({ host, leaving }) => leaving && host.hostId === draft.self.hostId) });
  const listedIds = new Set(peers.map(({ host }) => host.hostId));
  [...draft.members.values()]
    .filter(({ host, listed }) => listed && !listedIds.has(host.hostId))
    .forEach(({ host }) => {
      const sequence = draft.send(host, { type: 'ping' });
      const targetId = host.hostId;
      draft.probes.set(sequence, { targetId, sentMs: draft.nowMs, indirect: false, delisted: true });
    });
  [...draft.members.values()]
    .filter(({ host, listed, listedLeaving }) => (listed || listedLeaving) && !listedIds.has(host.hostId))
    .forEach((member) => draft.putMember({ ...member, listed: false, listedLeaving: false }));
  peers.filter(({ host }) => host.hostId !== draft.self.hostId).forEach((peer) => applyListed(draft, peer));
  trackDomains(draft);
};

const announceDeparture = (draft: Draft, phase: 'leaving' | 'left'): void => {
  const { self, state } = draft;
  draft.set({ phase });
  const update = { hostId: self.hostId, state: phase, incarnation: state.incarnation, host: self };
  draft.queueGossip(update);
  draft.forward();
  if (draft.isRepresentative()) {
    draft.forwardRemote([update]);
  }
};

/**
 * Advances the membership of one host by one event.
 *
 * @param state - membership before the event
 * @param event - the event
 * @param nowMs - monotonic time
 * @param random - source of random numbers
 * @returns the new state and the actions for the interpreter
 * @example
 * const { state: next, actions } = advanceMembership(state, { type: 'tick' }, clock.monotonicMs(), Math.random);
 */
export default function advanceMembership(
  state: MembershipState,
  event: MembershipEvent,
  nowMs: number,
  random: Random,
): MembershipStep {
  const draft = new Draft(state, nowMs, random);
  switch (event.type) {
    case 'tick':
      tick(draft);
      break;
    case 'message':
      handleMessage(draft, event.message);
      break;
    case 'listed':
      applyList(draft, event.peers);
      break;
    case 'synced':
      event.updates.forEach((update) => draft.applyUpdate(update));
      trackDomains(draft);
      break;
    case 'digest-changed':
      draft.set({ digest: event.digest });
      break;
    case 'leaving':
    case 'left':
      announceDeparture(draft, event.type);
      break;
    default:
      exhaustive(event);
  }
  return draft.finish();
}
