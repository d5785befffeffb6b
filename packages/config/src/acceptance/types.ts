import type { AcceptedDocument } from '../types.js';

/** Details of one acceptance. */
export interface AcceptanceRequest {
  /** Random id of the change; it tells whether the write took effect when the reply of the store was lost. */
  readonly changeId: string;
  readonly acceptedBy: string;
  readonly acceptedAtMs: number;
  /** Version that the document replaces; the current one when absent. Zero: no version exists yet. */
  readonly expectedVersion?: number;
}

/** What the store holds of a service before an acceptance. */
export interface AcceptanceBase {
  /** Document at the head. */
  readonly current: AcceptedDocument | undefined;
  /** Highest version in the history; it is above the head's only after the store has lost writes. */
  readonly highestVersion: number;
}

/** The value to write, or the conflict that prevents the write. */
export type AcceptancePlan =
  | { readonly type: 'write'; readonly accepted: AcceptedDocument }
  | { readonly type: 'conflict'; readonly current: AcceptedDocument | undefined };

/** Outcome of a write, determined by its change id. */
export type AcceptanceOutcome =
  /** The write is in the history; `overtakenBy` is the version of a later head. */
  | { readonly type: 'accepted'; readonly version: number; readonly overtakenBy?: number }
  /** Another change took the version. */
  | { readonly type: 'conflict'; readonly current: AcceptedDocument | undefined };
