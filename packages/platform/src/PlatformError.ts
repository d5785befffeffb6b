import { LayerError } from '@bergamotcove/errors';

/** Reason of a platform failure. */
export type PlatformErrorCode =
  /** The call did not reach the service; it had no effect. */
  | 'unavailable'
  /** The call may have taken effect; no answer arrived. */
  | 'outcome-unknown'
  /** The service answered with an error. */
  | 'rejected'
  /** The service's answer does not match its protocol. */
  | 'invalid-answer';

/** Failure of a call to the platform. */
export default class PlatformError extends LayerError<PlatformErrorCode> {}
