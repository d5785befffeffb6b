import {
  DOMAIN_SILENCE_MS,
  DOMAIN_SUSPICION_MS,
  PROBE_PERIOD_MS,
  REMOTE_PROBES_PER_PERIOD,
  REPRESENTATIVES,
} from '../constants.js';
import type { Member } from '../types.js';
import type Draft from './Draft.js';

/** Chance of a probe to any host of a failure domain instead of a representative; finds a host that still answers. */
const ANY_HOST_CHANCE = 0.25;

/** Keeps the view of the failure domains in step with the members. */
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
  const standing = draft.index.ringOf(failureDomain, '').filter((hostId) => hostId !== '');
  const fallen = (draft.index.byDomain.get(failureDomain) ?? [])
    .filter(({ state }) => state === 'dead')
    .map(({ host }) => host.hostId);
  const ranked = standing.length > 0 ? standing : fallen;
  const pool = draft.random() < ANY_HOST_CHANCE ? ranked : ranked.slice(0, REPRESENTATIVES);
  const [chosen = ''] = draft.draw(pool, 1);
  return draft.members.get(chosen);
};

/** Probes some other failure domains, in rounds over all of them, lost ones included. */
const probeRemote = (draft: Draft): void => {
  const names = [...draft.domains.keys()];
  const left = draft.state.remoteRound.filter((name) => names.includes(name));
  const round = left.length > 0 ? left : draft.draw(names, names.length);
  draft.set({ remoteRound: round.slice(REMOTE_PROBES_PER_PERIOD) });
  round.slice(0, REMOTE_PROBES_PER_PERIOD).forEach((name) => {
    const target = pickTarget(draft, name);
    if (target !== undefined) {
      draft.send(target.host, { type: 'ping' });
    }
  });
};

/** Suspects failure domains that are silent, and gives the verdict when nothing refutes the suspicion. */
const judgeDomains = (draft: Draft, sinceMs: number): void => {
  const roundMs = Math.ceil(draft.domains.size / REMOTE_PROBES_PER_PERIOD) * PROBE_PERIOD_MS;
  [...draft.domains].forEach(([name, view]) => {
    const silentMs = draft.nowMs - Math.max(view.heardMs, sinceMs);
    if (view.state === 'live' && silentMs > DOMAIN_SILENCE_MS + roundMs) {
      draft.judgeDomain(name, 'suspect');
    } else if (view.state === 'suspect' && draft.nowMs - view.sinceMs >= DOMAIN_SUSPICION_MS) {
      draft.judgeDomain(name, 'lost');
    }
  });
};

/** Work of a representative in one period. */
export function representDomain(draft: Draft): void {
  if (!draft.isRepresentative()) {
    draft.set({ representativeSinceMs: undefined });
    return;
  }
  const sinceMs = draft.state.representativeSinceMs ?? draft.nowMs;
  draft.set({ representativeSinceMs: sinceMs });
  probeRemote(draft);
  judgeDomains(draft, sinceMs);
}
