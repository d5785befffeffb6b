import {
  DELISTED_TIMEOUT_MS,
  DIRECT_TIMEOUT_MS,
  INDIRECT_PROBES,
  PROBE_TIMEOUT_MS,
  RANDOM_PROBE_PERIODS,
  RECONNECT_INTERVAL_MS,
  SUSPECT_PINGS,
} from '../constants.js';
import suspicionTimeoutMs from '../suspicionTimeoutMs.js';
import type { Probe } from '../types.js';
import type Draft from './Draft.js';

const failProbe = (draft: Draft, probe: Probe): void => {
  const target = draft.members.get(probe.targetId);
  if (target !== undefined && probe.delisted === true) {
    draft.applyUpdate({ hostId: probe.targetId, state: 'dead', incarnation: target.incarnation });
  } else if (target?.state === 'alive') {
    draft.applyUpdate({ hostId: probe.targetId, state: 'suspect', incarnation: target.incarnation });
    // The ping tells the suspect of the suspicion at once, so that a live host can refute it in time.
    draft.send(target.host, { type: 'ping' });
    draft.markUrgent();
  } else if (target?.state === 'leaving') {
    draft.applyUpdate({ hostId: probe.targetId, state: 'dead', incarnation: target.incarnation });
  }
};

const requestIndirectProbes = (draft: Draft, sequence: number, probe: Probe): void => {
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

/** Requests indirect probes when a direct ack is late, and suspects the target when no ack arrives in time. */
export function checkProbes(draft: Draft): void {
  [...draft.probes].forEach(([sequence, probe]) => {
    const ageMs = draft.nowMs - probe.sentMs;
    if (ageMs >= (probe.delisted === true ? DELISTED_TIMEOUT_MS : PROBE_TIMEOUT_MS)) {
      draft.probes.delete(sequence);
      if (!draft.relays.delete(sequence)) {
        failProbe(draft, probe);
      }
    } else if (ageMs >= DIRECT_TIMEOUT_MS && !probe.indirect) {
      requestIndirectProbes(draft, sequence, probe);
    }
  });
}

/** Declares hosts of the own failure domain dead that did not refute their suspicion in time. */
export function expireSuspicions(draft: Draft): void {
  const neighbours = draft.neighbours();
  const timeoutMs = suspicionTimeoutMs(neighbours.length + 1);
  neighbours
    .filter(({ state, sinceMs }) => state === 'suspect' && draft.nowMs - sinceMs >= timeoutMs)
    .forEach(({ host, incarnation }) => draft.applyUpdate({ hostId: host.hostId, state: 'dead', incarnation }));
}

const sendProbe = (draft: Draft, targetId: string | undefined): void => {
  const target = targetId === undefined ? undefined : draft.members.get(targetId);
  if (target !== undefined) {
    const sequence = draft.send(target.host, { type: 'ping' });
    draft.probes.set(sequence, { targetId: target.host.hostId, sentMs: draft.nowMs, indirect: false });
  }
};

/** Finds the next host along the probe ring that is not suspected. */
const findSuccessor = (draft: Draft): string | undefined => {
  const ring = draft.ring();
  const ownIndex = ring.indexOf(draft.self.hostId);
  return [...ring.slice(ownIndex + 1), ...ring.slice(0, ownIndex)].find(
    (hostId) => draft.members.get(hostId)?.state !== 'suspect',
  );
};

/**
 * Probes the next host along the ring, so that each host is probed in every period. Every `RANDOM_PROBE_PERIODS`
 * periods it also probes the next host of a round in random order, which detects a host whose predecessor is down too.
 */
export function probeNext(draft: Draft): void {
  const successor = findSuccessor(draft);
  sendProbe(draft, successor);
  const { probePeriods } = draft.state;
  draft.set({ probePeriods: probePeriods + 1 });
  if (probePeriods % RANDOM_PROBE_PERIODS !== 0) {
    return;
  }
  const isNeighbour = (hostId: string) => draft.members.get(hostId)?.host.failureDomain === draft.self.failureDomain;
  const ids = draft.neighbours().map(({ host }) => host.hostId);
  const remaining = draft.state.probeRound.filter(isNeighbour);
  const [targetId, ...rest] = remaining.length > 0 ? remaining : draft.draw(ids, ids.length);
  draft.set({ probeRound: rest });
  if (targetId !== successor) {
    sendProbe(draft, targetId);
  }
}

/**
 * Pings suspects, which tells them of the suspicion; all hosts of the failure domain together send about
 * `SUSPECT_PINGS` pings to each suspect in a period.
 */
export function pingSuspects(draft: Draft): void {
  const neighbours = draft.neighbours();
  neighbours
    .filter(({ state }) => state === 'suspect' && draft.random() * neighbours.length < SUSPECT_PINGS)
    .forEach(({ host }) => draft.send(host, { type: 'ping' }));
}

/**
 * Pings one random dead host of the own failure domain at an interval; after a partition has healed, the host learns
 * that it was declared dead and refutes it.
 */
export function pingDeadHost(draft: Draft): void {
  if (draft.nowMs < draft.state.nextReconnectMs) {
    return;
  }
  draft.set({ nextReconnectMs: draft.nowMs + RECONNECT_INTERVAL_MS });
  const dead = draft.index.gone.filter(
    ({ host, state }) => state === 'dead' && host.failureDomain === draft.self.failureDomain,
  );
  draft.draw(dead, 1).forEach(({ host }) => draft.send(host, { type: 'ping' }));
}
