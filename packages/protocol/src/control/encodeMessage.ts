import { encode } from '@msgpack/msgpack';
import { exhaustive } from '@bergamotcove/errors';
import { MAX_MESSAGE_BYTES, PREVIOUS_PROTOCOL_VERSION, PROTOCOL_VERSION } from '../constants.js';
import ProtocolError from '../ProtocolError.js';
import { DOMAIN_STATES, MEMBER_STATES, MESSAGE_TYPES } from './_lib/messageSchema.js';
import type { ControlMessage, MemberUpdate, PeerAddress } from './types.js';

const formatAddress = (host: PeerAddress): readonly unknown[] => [
  host.hostId,
  host.address,
  host.peersPort,
  host.failureDomain,
  host.region,
];

const formatUpdate = (update: MemberUpdate): readonly unknown[] => [
  update.hostId,
  MEMBER_STATES.indexOf(update.state),
  update.incarnation,
  update.host === undefined ? null : formatAddress(update.host),
];

const formatExtra = (message: ControlMessage): readonly unknown[] => {
  switch (message.type) {
    case 'ping':
    case 'ack':
      return [];
    case 'indirect-ping':
      return [formatAddress(message.target)];
    case 'relayed-ack':
      return [message.targetId];
    case 'summary':
      return [message.topic, message.payload];
    default:
      return exhaustive(message);
  }
};

const formatBody = (message: ControlMessage, version: number): readonly unknown[] => {
  const common = [
    version,
    PROTOCOL_VERSION,
    MESSAGE_TYPES.indexOf(message.type),
    message.sequence,
    formatAddress(message.from),
    message.incarnation,
    message.updates.map(formatUpdate),
    formatExtra(message),
  ];
  if (version === PREVIOUS_PROTOCOL_VERSION) {
    return common;
  }
  const domains = message.domains.map((domain) => [
    domain.failureDomain,
    DOMAIN_STATES.indexOf(domain.state),
    domain.version,
  ]);
  return [...common, domains, message.digest];
};

/**
 * Encodes a control message.
 *
 * @param message - the message; the caller limits the number of updates so that the message fits
 * @param version - version that the receiver supports
 * @returns the bytes
 * @throws ProtocolError `too-large` for a message over the datagram limit, `unsupported-version` for an unknown version
 * @example
 * const bytes = encodeMessage(message, chooseVersion(peerVersion));
 */
export default function encodeMessage(message: ControlMessage, version: number = PROTOCOL_VERSION): Uint8Array {
  if (version !== PROTOCOL_VERSION && version !== PREVIOUS_PROTOCOL_VERSION) {
    throw new ProtocolError('unsupported-version', `protocol version ${version} is not supported`);
  }
  const bytes = encode(formatBody(message, version));
  if (bytes.length > MAX_MESSAGE_BYTES) {
    throw new ProtocolError('too-large', `a message of ${bytes.length} bytes exceeds ${MAX_MESSAGE_BYTES}`);
  }
  return bytes;
}
