import {
  DOMAIN_SILENCE_MS,
  DOMAIN_SUSPICION_MS,
  PROBE_PERIOD_MS,
  REMOTE_PROBES_PER_PERIOD,
  REPRESENTATIVES,
} from '../constants.js';
import type { Member } from '../types.js';
import type Draft from './Draft.js';

/** Probability of probing any host of a failure domain instead of a representative; finds one that still answers. */
const ANY_HOST_PROBABILITY = 0.25;

/** Adds and removes failure domains so that they match those of the members. */
export function trackDomains(draft: Draft): void {
  const names = new Set(draft.index.byDomain.keys());
  names.delete(draft.self.failureDomain);
  names.forEach((name) => {
    if (!draft.domains.has(name)) {
      draft.domains.set(name, { state: 'live', version: 0, sinceMs: draft.nowMs, heardMs: draft.nowMs });
    }
  });
  [...draft.domains.keys()].filter((name) => !names.has(name)).forEach((name) => draft.domains.delete(name));
}

const pickTarget = (draft: Draft, failureDomain: string): Member | undefined => {
  const reachableIds = draft.index.ringOf(failureDomain, '').filter((hostId) => hostId !== '');
  const deadIds = (draft.index.byDomain.get(failureDomain) ?? [])
    .filter(({ state }) => state === 'dead')
    .map(({ host }) => host.hostId);
  const candidates = reachableIds.length > 0 ? reachableIds : deadIds;
  const drawnFrom = draft.random() < ANY_HOST_PROBABILITY ? candidates : candidates.slice(0, REPRESENTATIVES);
  const [chosen = ''] = draft.draw(drawnFrom, 1);
  return draft.members.get(chosen);
};

/** Probes the next few other failure domains, in rounds over all of them, including lost ones. */
const probeRemote = (draft: Draft): void => {
  const names = [...draft.domains.keys()];
  const remaining = draft.state.remoteRound.filter((name) => names.includes(name));
  const round = remaining.length > 0 ? remaining : draft.draw(names, names.length);
  draft.set({ remoteRound: round.slice(REMOTE_PROBES_PER_PERIOD) });
  round.slice(0, REMOTE_PROBES_PER_PERIOD).forEach((name) => {
    const target = pickTarget(draft, name);
    if (target !== undefined) {
      draft.send(target.host, { type: 'ping' });
    }
  });
};

/** Suspects silent failure domains, and declares them lost when nothing refutes the suspicion in time. */
const updateDomainStates = (draft: Draft, sinceMs: number): void => {
  const roundMs = Math.ceil(draft.domains.size / REMOTE_PROBES_PER_PERIOD) * PROBE_PERIOD_MS;
  [...draft.domains].forEach(([name, view]) => {
    const silentMs = draft.nowMs - Math.max(view.heardMs, sinceMs);
    if (view.state === 'live' && silentMs > DOMAIN_SILENCE_MS + roundMs) {
      draft.setDomainState(name, 'suspect');
    } else if (view.state === 'suspect' && draft.nowMs - view.sinceMs >= DOMAIN_SUSPICION_MS) {
      draft.setDomainState(name, 'lost');
    }
  });
};

/** Probes and judges the other failure domains once a period, if this host is a representative. */
export function runRepresentative(draft: Draft): void {
  if (!draft.isRepresentative()) {
    draft.set({ representativeSinceMs: undefined });
    return;
  }
  const sinceMs = draft.state.representativeSinceMs ?? draft.nowMs;
  draft.set({ representativeSinceMs: sinceMs });
  probeRemote(draft);
  updateDomainStates(draft, sinceMs);
}
