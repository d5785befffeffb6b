import { exhaustive } from '@bergamotcove/errors';
import type { Random } from '../routing/types.js';
import Draft from './_lib/Draft.js';
import handleMessage from './_lib/handleMessage.js';
import { representDomain, trackDomains } from './_lib/probeDomains.js';
import { checkProbes, checkSuspects, pingSuspects, probeNext, reconnect } from './_lib/probeNeighbours.js';
import { FORGET_MS, PAUSE_THRESHOLD_MS, PROBE_PERIOD_MS, SYNC_HOSTS, SYNC_MS } from './constants.js';
import type { ListedPeer, MembershipEvent, MembershipState, MembershipStep } from './types.js';

/** After a pause the host was silent, not its peers: open probes and suspicions start again. */
const wake = (draft: Draft, pausedMs: number): void => {
  draft.act({ type: 'woke', pausedMs });
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

const forget = (draft: Draft): void => {
  draft.index.gone
    .filter(({ listed, sinceMs }) => !listed && draft.nowMs - sinceMs > FORGET_MS)
    .forEach(({ host }) => draft.dropMember(host.hostId));
};

const syncWhenDue = (draft: Draft): void => {
  if (draft.nowMs >= draft.state.nextSyncMs) {
    const meanMs = SYNC_MS * Math.max(1, draft.members.size / SYNC_HOSTS);
    // The first interval has any length, so that hosts that started together do not exchange views together.
    const share = draft.state.synced ? 0.5 + draft.random() : draft.random();
    draft.set({ nextSyncMs: draft.nowMs + meanMs * share, synced: true });
    draft.draw(draft.live(), 1).forEach(({ host }) => draft.act({ type: 'sync', peer: host }));
  }
};

const tick = (draft: Draft): void => {
  const gapMs = draft.nowMs - draft.state.lastTickMs;
  draft.set({ lastTickMs: draft.nowMs });
  if (gapMs > PAUSE_THRESHOLD_MS) {
    wake(draft, gapMs);
  }
  checkProbes(draft);
  checkSuspects(draft);
  if (draft.state.forwardDue) {
    draft.forward();
  }
  if (draft.nowMs >= draft.state.nextPeriodMs) {
    draft.set({ nextPeriodMs: draft.nowMs + PROBE_PERIOD_MS });
    trackDomains(draft);
    probeNext(draft);
    pingSuspects(draft);
    representDomain(draft);
    reconnect(draft);
    forget(draft);
    syncWhenDue(draft);
  }
};

const applyListed = (draft: Draft, { host, leaving }: ListedPeer): void => {
  const known = draft.members.get(host.hostId);
  const incarnation = known?.incarnation ?? 0;
  draft.apply({ hostId: host.hostId, state: leaving ? 'leaving' : 'alive', incarnation, host }, 'list');
  const member = draft.members.get(host.hostId);
  // The list knows where a restarted host is before that host is heard.
  const moved = member?.state === 'dead' || member?.state === 'left';
  const place = moved ? host : member?.host;
  if (
    member !== undefined &&
    place !== undefined &&
    (!member.listed || member.listedLeaving !== leaving || place !== member.host)
  ) {
    draft.putMember({ ...member, listed: true, listedLeaving: leaving, host: place });
  }
};

/** Takes the host list as seeds: it adds hosts and marks leaving ones; it never gives a verdict. */
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

const announceEnd = (draft: Draft, phase: 'leaving' | 'left'): void => {
  const { self, state } = draft;
  draft.set({ phase });
  const update = { hostId: self.hostId, state: phase, incarnation: state.incarnation, host: self };
  draft.spread(update);
  draft.forward();
  if (draft.isRepresentative()) {
    draft.forwardRemote([update]);
  }
};

/**
 * Advances the membership of one host by one event.
 *
 * @param state - membership
 * @param event - what happened
 * @param nowMs - monotonic time
 * @param random - source of random numbers
 * @returns the new state and what the interpreter has to do
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
      event.updates.forEach((update) => draft.apply(update));
      trackDomains(draft);
      break;
    case 'digest-changed':
      draft.set({ digest: event.digest });
      break;
    case 'leaving':
    case 'left':
      announceEnd(draft, event.type);
      break;
    default:
      exhaustive(event);
  }
  return draft.finish();
}
