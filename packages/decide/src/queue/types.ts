import type { OperationSpec } from '@bergamotcove/config';

/** Priority class of a request. */
export type PriorityClass = OperationSpec['priority'];

/** What the urgency of a waiting attempt depends on. */
export interface UrgencyFacts {
  /** Latest start that meets the deadline. */
  readonly latestStartAtMs: number;
  readonly enqueuedAtMs: number;
  readonly priority: PriorityClass;
}
