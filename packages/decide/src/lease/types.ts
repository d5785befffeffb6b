/** A lease as its holder sees it, on the holder's monotonic clock. */
export type LeaseState =
  | { readonly type: 'none'; readonly retryMs: number }
  /** A grant or a renewal is on its way. */
  | { readonly type: 'granting'; readonly startedMs: number }
  | {
      readonly type: 'held';
      readonly leaseId: string;
      /** From this time on the holder must not act; earlier than the expiry in the store by the margin. */
      readonly fencedMs: number;
      readonly renewMs: number;
      readonly renewing: boolean;
    };

/** What happens to a lease. Times are those at which the call to the store began. */
export type LeaseEvent =
  | { readonly type: 'tick' }
  /** The holder asks to get or renew the lease now; it spaces its attempts itself. */
  | { readonly type: 'requested' }
  | { readonly type: 'granted'; readonly leaseId: string; readonly startedMs: number; readonly ttlMs: number }
  | { readonly type: 'renewed'; readonly leaseId: string; readonly startedMs: number; readonly ttlMs: number }
  /** No answer, or an error answer. */
  | { readonly type: 'failed' }
  /** The store has forgotten the lease, and may have given its id to another holder. */
  | { readonly type: 'forgotten' };

/** What the interpreter does. */
export type LeaseAction =
  | { readonly type: 'grant' }
  | { readonly type: 'renew'; readonly leaseId: string }
  /** The lease may have lapsed; everything that depends on it stops now. */
  | { readonly type: 'lost'; readonly leaseId: string };

/** Result of one event. */
export interface LeaseStep {
  readonly state: LeaseState;
  readonly actions: readonly LeaseAction[];
}
