/** Method by which an operator lists the rate limits that servers have stated, see {@link OperatorLimit}. */
export const OPERATOR_LIST_LIMITS = 'operator.listLimits';

/** Rate limit of a server, as one host knows it. */
export interface OperatorLimit {
  readonly serverId: string;
  readonly pool: string;
  readonly requestsPerSecond: number;
  /** Time since the first and the latest statement. */
  readonly sinceMs: number;
  readonly statedAgoMs: number;
  /** `answer`, or the id of the host that told this one first. */
  readonly learntFrom: string;
  /** Whether this host hands out the sends of all hosts to the server. */
  readonly handsOut: boolean;
  /** Sends that it has handed out since it began to. */
  readonly sends: number;
}
