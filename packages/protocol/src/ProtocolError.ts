import { LayerError } from '@bergamotcove/errors';

/** Reason why bytes are not a message. */
export type ProtocolErrorCode =
  /** The bytes do not decode, or their fields do not match the schema. */
  | 'malformed'
  /** The version is neither the own nor the previous one. */
  | 'unsupported-version'
  /** The message is larger than its limit. */
  | 'too-large';

/** Failure of the codec. */
export default class ProtocolError extends LayerError<ProtocolErrorCode> {}
