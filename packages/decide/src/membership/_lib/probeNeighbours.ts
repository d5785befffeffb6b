import {
  DELISTED_TIMEOUT_MS,
  DIRECT_TIMEOUT_MS,
  INDIRECT_PROBES,
  PROBE_TIMEOUT_MS,
  RANDOM_PROBE_PERIODS,
  RECONNECT_MS,
  SUSPECT_PINGS,
} from '../constants.js';
import suspicionTimeoutMs from '../suspicionTimeoutMs.js';
import type { Probe } from '../types.js';
import type Draft from './Draft.js';

const failProbe = (draft: Draft, probe: Probe): void => {
  const target = draft.members.get(probe.targetId);
  if (target !== undefined && probe.delisted === true) {
    draft.apply({ hostId: probe.targetId, state: 'dead', incarnation: target.incarnation });
  } else if (target?.state === 'alive') {
    draft.apply({ hostId: probe.targetId, state: 'suspect', incarnation: target.incarnation });
    // The suspect learns of it at once, so that a live one can refute in time.
    draft.send(target.host, { type: 'ping' });
    draft.tellNeighbours();
  } else if (target?.state === 'leaving') {
    draft.apply({ hostId: probe.targetId, state: 'dead', incarnation: target.incarnation });
  }
};

const askOthers = (draft: Draft, sequence: number, probe: Probe): void => {
  const target = draft.members.get(probe.targetId);
  if (target === undefined) {
    return;
  }
  const helpers = draft.neighbours().filter(({ host, state }) => host.hostId !== probe.targetId && state === 'alive');
  draft.draw(helpers, INDIRECT_PROBES).forEach(({ host }) => {
    draft.send(host, { type: 'indirect-ping', target: target.host }, sequence);
  });
  draft.probes.set(sequence, { ...probe, indirect: true });
};

/** Asks other hosts to probe when a direct ack is late, and suspects the target when no ack arrives at all. */
export function checkProbes(draft: Draft): void {
  [...draft.probes].forEach(([sequence, probe]) => {
    const ageMs = draft.nowMs - probe.sentMs;
    if (ageMs >= (probe.delisted === true ? DELISTED_TIMEOUT_MS : PROBE_TIMEOUT_MS)) {
      draft.probes.delete(sequence);
      if (!draft.relays.delete(sequence)) {
        failProbe(draft, probe);
      }
    } else if (ageMs >= DIRECT_TIMEOUT_MS && !probe.indirect) {
      askOthers(draft, sequence, probe);
    }
  });
}

/** Gives the verdict on hosts of the own failure domain that did not refute their suspicion in time. */
export function checkSuspects(draft: Draft): void {
  const neighbours = draft.neighbours();
  const timeoutMs = suspicionTimeoutMs(neighbours.length + 1);
  neighbours
    .filter(({ state, sinceMs }) => state === 'suspect' && draft.nowMs - sinceMs >= timeoutMs)
    .forEach(({ host, incarnation }) => draft.apply({ hostId: host.hostId, state: 'dead', incarnation }));
}

const probe = (draft: Draft, targetId: string | undefined): void => {
  const target = targetId === undefined ? undefined : draft.members.get(targetId);
  if (target !== undefined) {
    const sequence = draft.send(target.host, { type: 'ping' });
    draft.probes.set(sequence, { targetId: target.host.hostId, sentMs: draft.nowMs, indirect: false });
  }
};

/** The next host along the ring that is not suspected. */
const findSuccessor = (draft: Draft): string | undefined => {
  const ring = draft.ring();
  const place = ring.indexOf(draft.self.hostId);
  return [...ring.slice(place + 1), ...ring.slice(0, place)].find(
    (hostId) => draft.members.get(hostId)?.state !== 'suspect',
  );
};

/**
 * Probes the next host along the ring, so that each host is probed in every period, and now and then the next one of a
 * round in random order, which finds a host whose predecessor is down as well.
 */
export function probeNext(draft: Draft): void {
  const successor = findSuccessor(draft);
  probe(draft, successor);
  const { probePeriods } = draft.state;
  draft.set({ probePeriods: probePeriods + 1 });
  if (probePeriods % RANDOM_PROBE_PERIODS !== 0) {
    return;
  }
  const isNeighbour = (hostId: string) => draft.members.get(hostId)?.host.failureDomain === draft.self.failureDomain;
  const ids = draft.neighbours().map(({ host }) => host.hostId);
  const left = draft.state.round.filter(isNeighbour);
  const [targetId, ...rest] = left.length > 0 ? left : draft.draw(ids, ids.length);
  draft.set({ round: rest });
  if (targetId !== successor) {
    probe(draft, targetId);
  }
}

/** Tells suspects of their suspicion; the whole failure domain sends about `SUSPECT_PINGS` to each in a period. */
export function pingSuspects(draft: Draft): void {
  const neighbours = draft.neighbours();
  neighbours
    .filter(({ state }) => state === 'suspect' && draft.random() * neighbours.length < SUSPECT_PINGS)
    .forEach(({ host }) => draft.send(host, { type: 'ping' }));
}

/** Pings one dead host now and then: after a healed cut it learns of the verdict and refutes it. */
export function reconnect(draft: Draft): void {
  if (draft.nowMs < draft.state.nextReconnectMs) {
    return;
  }
  draft.set({ nextReconnectMs: draft.nowMs + RECONNECT_MS });
  const dead = draft.index.gone.filter(
    ({ host, state }) => state === 'dead' && host.failureDomain === draft.self.failureDomain,
  );
  draft.draw(dead, 1).forEach(({ host }) => draft.send(host, { type: 'ping' }));
}
