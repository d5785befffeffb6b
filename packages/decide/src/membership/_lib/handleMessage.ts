import { exhaustive } from '@bergamotcove/errors';
import type { ControlMessage, DomainUpdate } from '@bergamotcove/protocol';
import { DOMAIN_SUSPICION_MS } from '../constants.js';
import type Draft from './Draft.js';

/** Notes that a host of another failure domain was heard directly. */
const hearDomain = (draft: Draft, { from }: ControlMessage): void => {
  const { failureDomain } = from;
  if (failureDomain === draft.self.failureDomain) {
    return;
  }
  const view = draft.domains.get(failureDomain) ?? { state: 'live', version: 0, sinceMs: draft.nowMs, heardMs: 0 };
  draft.domains.set(failureDomain, { ...view, heardMs: draft.nowMs });
  if (view.state !== 'live') {
    draft.judgeDomain(failureDomain, 'live');
    draft.act({ type: 'sync', peer: from });
  }
};

const applyDomain = (draft: Draft, update: DomainUpdate): void => {
  const view = draft.domains.get(update.failureDomain);
  if (view === undefined || update.version <= view.version) {
    return;
  }
  const heard = draft.nowMs - view.heardMs < DOMAIN_SUSPICION_MS;
  draft.judgeDomain(update.failureDomain, update.state, update.version);
  if (update.state !== 'live' && heard) {
    draft.judgeDomain(update.failureDomain, 'live');
  }
};

const settleProbe = (draft: Draft, sequence: number): void => {
  const relay = draft.relays.get(sequence);
  const probe = draft.probes.get(sequence);
  draft.relays.delete(sequence);
  draft.probes.delete(sequence);
  if (relay !== undefined && probe !== undefined) {
    draft.send(relay.origin, { type: 'relayed-ack', targetId: probe.targetId }, relay.sequence);
  }
};

/** Probes on behalf of another host; the own probe table gives the target's id and is not judged. */
const probeFor = (draft: Draft, message: Extract<ControlMessage, { type: 'indirect-ping' }>): void => {
  const sequence = draft.send(message.target, { type: 'ping' });
  draft.relays.set(sequence, { origin: message.from, sequence: message.sequence, sentMs: draft.nowMs });
  draft.probes.set(sequence, { targetId: message.target.hostId, sentMs: draft.nowMs, indirect: true });
};

/** Applies a message of a peer. */
export default function handleMessage(draft: Draft, message: ControlMessage): void {
  const { from, incarnation } = message;
  if (from.hostId === draft.self.hostId) {
    return;
  }
  hearDomain(draft, message);
  const known = draft.members.get(from.hostId);
  if (known === undefined || incarnation > known.incarnation) {
    draft.apply({ hostId: from.hostId, state: 'alive', incarnation, host: from });
  }
  message.updates.forEach((update) => draft.apply(update));
  if (from.failureDomain === draft.self.failureDomain) {
    message.domains.forEach((update) => applyDomain(draft, update));
  }
  if (message.digest !== '') {
    draft.act({ type: 'digest-heard', from, digest: message.digest });
  }
  switch (message.type) {
    case 'ping':
      draft.send(from, { type: 'ack' }, message.sequence);
      break;
    case 'ack':
    case 'relayed-ack':
      settleProbe(draft, message.sequence);
      break;
    case 'indirect-ping':
      probeFor(draft, message);
      break;
    case 'summary':
      draft.act({ type: 'summary-heard', from, topic: message.topic, payload: message.payload });
      break;
    default:
      exhaustive(message);
  }
}
