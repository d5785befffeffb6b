import { exhaustive } from '@bergamotcove/errors';
import type { ControlMessage, DomainUpdate } from '@bergamotcove/protocol';
import { DOMAIN_SUSPICION_MS } from '../constants.js';
import type Draft from './Draft.js';

/** Records a direct message from a host of another failure domain, which makes that failure domain live. */
const recordDomainContact = (draft: Draft, { from }: ControlMessage): void => {
  const { failureDomain } = from;
  if (failureDomain === draft.self.failureDomain) {
    return;
  }
  const view = draft.domains.get(failureDomain) ?? { state: 'live', version: 0, sinceMs: draft.nowMs, heardMs: 0 };
  draft.domains.set(failureDomain, { ...view, heardMs: draft.nowMs });
  if (view.state !== 'live') {
    draft.setDomainState(failureDomain, 'live');
    draft.addAction({ type: 'sync', peer: from });
  }
};

const applyDomainUpdate = (draft: Draft, update: DomainUpdate): void => {
  const view = draft.domains.get(update.failureDomain);
  if (view === undefined || update.version <= view.version) {
    return;
  }
  const isRecentlyHeard = draft.nowMs - view.heardMs < DOMAIN_SUSPICION_MS;
  draft.setDomainState(update.failureDomain, update.state, update.version);
  if (update.state !== 'live' && isRecentlyHeard) {
    draft.setDomainState(update.failureDomain, 'live');
  }
};

const completeProbe = (draft: Draft, sequence: number): void => {
  const relay = draft.relays.get(sequence);
  const probe = draft.probes.get(sequence);
  draft.relays.delete(sequence);
  draft.probes.delete(sequence);
  if (relay !== undefined && probe !== undefined) {
    draft.send(relay.origin, { type: 'relayed-ack', targetId: probe.targetId }, relay.sequence);
  }
};

/** Probes a target on behalf of another host; a missing ack does not make this host suspect the target. */
const relayProbe = (draft: Draft, message: Extract<ControlMessage, { type: 'indirect-ping' }>): void => {
  const sequence = draft.send(message.target, { type: 'ping' });
  draft.relays.set(sequence, { origin: message.from, sequence: message.sequence, sentMs: draft.nowMs });
  draft.probes.set(sequence, { targetId: message.target.hostId, sentMs: draft.nowMs, indirect: true });
};

/** Applies a message from a peer and answers it. */
export default function handleMessage(draft: Draft, message: ControlMessage): void {
  const { from, incarnation } = message;
  if (from.hostId === draft.self.hostId) {
    return;
  }
  recordDomainContact(draft, message);
  const known = draft.members.get(from.hostId);
  if (known === undefined || incarnation > known.incarnation) {
    draft.applyUpdate({ hostId: from.hostId, state: 'alive', incarnation, host: from });
  }
  message.updates.forEach((update) => draft.applyUpdate(update));
  if (from.failureDomain === draft.self.failureDomain) {
    message.domains.forEach((update) => applyDomainUpdate(draft, update));
  }
  if (message.digest !== '') {
    draft.addAction({ type: 'digest-heard', from, digest: message.digest });
  }
  switch (message.type) {
    case 'ping':
      draft.send(from, { type: 'ack' }, message.sequence);
      break;
    case 'ack':
    case 'relayed-ack':
      completeProbe(draft, message.sequence);
      break;
    case 'indirect-ping':
      relayProbe(draft, message);
      break;
    case 'summary':
      draft.addAction({ type: 'summary-heard', from, topic: message.topic, payload: message.payload });
      break;
    default:
      exhaustive(message);
  }
}
