import { decode } from '@msgpack/msgpack';
import { exhaustive } from '@bergamotcove/errors';
import { MAX_MESSAGE_BYTES, PREVIOUS_PROTOCOL_VERSION, PROTOCOL_VERSION } from '../constants.js';
import ProtocolError from '../ProtocolError.js';
import { extraSchemas, firstVersionSchema, secondVersionSchema } from './_lib/messageSchema.js';
import type { ControlMessage, DecodedMessage } from './types.js';

type Parsed = ReturnType<typeof secondVersionSchema.parse> | ReturnType<typeof firstVersionSchema.parse>;

const toMessage = ({ type, header, extra }: Parsed): ControlMessage => {
  switch (type) {
    case 'ping':
    case 'ack':
      return { type, ...header };
    case 'indirect-ping': {
      const [target] = extraSchemas[type].parse(extra);
      return { type, ...header, target };
    }
    case 'relayed-ack': {
      const [targetId] = extraSchemas[type].parse(extra);
      return { type, ...header, targetId };
    }
    case 'summary': {
      const [topic, payload] = extraSchemas[type].parse(extra);
      return { type, ...header, topic, payload };
    }
    default:
      return exhaustive(type);
  }
};

const toDecoded = (parsed: Parsed): DecodedMessage => ({ message: toMessage(parsed), version: parsed.speaks });

/**
 * Decodes a control message.
 *
 * @param bytes - content of a datagram after its authentication was checked
 * @returns the message and the highest version that its sender supports, which may be above the encoded one
 * @throws ProtocolError for any bytes that are not a message of the current or the previous version
 * @example
 * const { message, version } = decodeMessage(bytes);
 */
export default function decodeMessage(bytes: Uint8Array): DecodedMessage {
  if (bytes.length > MAX_MESSAGE_BYTES) {
    throw new ProtocolError('too-large', `a message of ${bytes.length} bytes exceeds ${MAX_MESSAGE_BYTES}`);
  }
  try {
    const value = decode(bytes);
    const version: unknown = Array.isArray(value) ? value[0] : undefined;
    if (version === PROTOCOL_VERSION) {
      return toDecoded(secondVersionSchema.parse(value));
    }
    if (version === PREVIOUS_PROTOCOL_VERSION) {
      return toDecoded(firstVersionSchema.parse(value));
    }
    if (typeof version === 'number') {
      throw new ProtocolError('unsupported-version', `protocol version ${version} is not supported`);
    }
  } catch (cause) {
    throw cause instanceof ProtocolError
      ? cause
      : new ProtocolError('malformed', 'the bytes are not a control message', { cause });
  }
  throw new ProtocolError('malformed', 'the bytes carry no protocol version');
}
