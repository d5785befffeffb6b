import type { OperationSpec } from '@bergamotcove/config';

/** Priority class of a request. */
export type PriorityClass = OperationSpec['priority'];

/** Inputs of the urgency of a waiting attempt. */
export interface UrgencyFacts {
  /** Latest monotonic start time that meets the deadline. */
  readonly latestStartAtMs: number;
  readonly enqueuedAtMs: number;
  readonly priority: PriorityClass;
}
