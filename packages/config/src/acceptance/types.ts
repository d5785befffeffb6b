import type { AcceptedDocument } from '../types.js';

/** Facts of one acceptance. */
export interface AcceptanceRequest {
  /** Random id of the change; settles a lost store reply. */
  readonly changeId: string;
  readonly acceptedBy: string;
  readonly acceptedAtMs: number;
  /** Version that the document replaces; the current one when absent. Zero means that none exists. */
  readonly expectedVersion?: number;
}

/** What the store holds of a service before an acceptance. */
export interface AcceptanceBase {
  /** Document at the head. */
  readonly current: AcceptedDocument | undefined;
  /** Highest version in the history; above the head's only after the store lost writes. */
  readonly highestVersion: number;
}

/** Whether a document may be written, and what. */
export type AcceptancePlan =
  | { readonly type: 'write'; readonly accepted: AcceptedDocument }
  | { readonly type: 'conflict'; readonly current: AcceptedDocument | undefined };

/** What became of a write, by its change id. */
export type AcceptanceOutcome =
  /** In the history; `overtakenBy` is the version of a later head. */
  | { readonly type: 'accepted'; readonly version: number; readonly overtakenBy?: number }
  /** Another change took the version. */
  | { readonly type: 'conflict'; readonly current: AcceptedDocument | undefined };
