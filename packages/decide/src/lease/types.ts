/** State of a lease in its holder; all times are those of the holder's monotonic clock. */
export type LeaseState =
  | { readonly type: 'none'; readonly retryMs: number }
  /** A new lease has been requested. */
  | { readonly type: 'granting'; readonly startedMs: number }
  | {
      readonly type: 'held';
      readonly leaseId: string;
      /** Time from which the holder must not act; earlier than the expiry in the store by the safety margin. */
      readonly fencedMs: number;
      /** Time of the next renewal. */
      readonly renewMs: number;
      /** Whether a renewal is in flight. */
      readonly renewing: boolean;
    };

/** Event of a lease. `startedMs` is the time at which the call to the store began. */
export type LeaseEvent =
  | { readonly type: 'tick' }
  /** The holder asks for the lease, or for its renewal, now; it spaces such requests itself. */
  | { readonly type: 'requested' }
  | { readonly type: 'granted'; readonly leaseId: string; readonly startedMs: number; readonly ttlMs: number }
  | { readonly type: 'renewed'; readonly leaseId: string; readonly startedMs: number; readonly ttlMs: number }
  /** The call to the store got no reply or an error. */
  | { readonly type: 'failed' }
  /** The store has lost the lease, and may have assigned its id to another holder. */
  | { readonly type: 'forgotten' };

/** Action that the interpreter performs. */
export type LeaseAction =
  | { readonly type: 'grant' }
  | { readonly type: 'renew'; readonly leaseId: string }
  /** The lease may have expired; everything that depends on it must stop now. */
  | { readonly type: 'lost'; readonly leaseId: string };

/** Result of one event: the new state and the actions to perform. */
export interface LeaseStep {
  readonly state: LeaseState;
  readonly actions: readonly LeaseAction[];
}
