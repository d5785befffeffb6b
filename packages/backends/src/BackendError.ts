import { LayerError } from '@bergamotcove/errors';

/** Reason of a failed call. */
export type BackendErrorCode =
  /** The call did not reach the service and had no effect. */
  | 'unavailable'
  /** The call may have taken effect; no answer arrived. */
  | 'outcome-unknown'
  /** The service answered with an error. */
  | 'rejected'
  /** The store has discarded the history from which the watch was to start. */
  | 'compacted'
  /** The answer of the service does not match its protocol. */
  | 'invalid-answer';

/** Failure of a call to the store, the host list or a backend server. */
export default class BackendError extends LayerError<BackendErrorCode> {}
