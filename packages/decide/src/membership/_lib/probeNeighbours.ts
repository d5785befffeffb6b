import {
  DELISTED_TIMEOUT_MS,
  DIRECT_TIMEOUT_MS,
  INDIRECT_PROBES,
  PROBE_TIMEOUT_MS,
  RECONNECT_MS,
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

/** Probes the next host of the round; a round visits every host once in random order. */
export function probeNext(draft: Draft): void {
  const ids = draft.neighbours().map(({ host }) => host.hostId);
  const left = draft.state.round.filter((id) => ids.includes(id));
  const [targetId, ...rest] = left.length > 0 ? left : draft.draw(ids, ids.length);
  draft.set({ round: rest });
  const target = targetId === undefined ? undefined : draft.members.get(targetId);
  if (target !== undefined) {
    const sequence = draft.send(target.host, { type: 'ping' });
    draft.probes.set(sequence, { targetId: target.host.hostId, sentMs: draft.nowMs, indirect: false });
  }
}

/** Pings one dead host now and then: after a healed cut it learns of the verdict and refutes it. */
export function reconnect(draft: Draft): void {
  if (draft.nowMs < draft.state.nextReconnectMs) {
    return;
  }
  draft.set({ nextReconnectMs: draft.nowMs + RECONNECT_MS });
  const dead = [...draft.members.values()].filter(
    ({ host, state }) => state === 'dead' && host.failureDomain === draft.self.failureDomain,
  );
  draft.draw(dead, 1).forEach(({ host }) => draft.send(host, { type: 'ping' }));
}
