import { LayerError } from '@bergamotcove/errors';

/** Reason why a message cannot be encoded or decoded. */
export type ProtocolErrorCode =
  /** The bytes do not decode, or their fields do not match the schema. */
  | 'malformed'
  /** The version is neither the current nor the previous one. */
  | 'unsupported-version'
  /** The message is larger than its limit. */
  | 'too-large';

/** Failure to encode or decode a message. */
export default class ProtocolError extends LayerError<ProtocolErrorCode> {}
