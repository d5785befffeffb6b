/** All pieces of one stage of one request. */
export interface BatchJob {
  readonly jobId: string;
  readonly pieceCount: number;
  /** Pieces of the same kind have about the same processing time. */
  readonly kind: string;
  /** Size of the result of one piece. */
  readonly resultBytes: number;
  /** Size of the inputs in the preferred failure domain; servers in other domains fetch them from there. */
  readonly inputBytes: number;
  /** Rank; 0 is the highest. */
  readonly priority: number;
  /** Relative value of the request, compared with other requests. */
  readonly value: number;
  /** Share of the request's stages that are already done, from 0 to 1. */
  readonly progress: number;
  /** Monotonic time by which the stage should end for the request to be on time. */
  readonly dueAtMs: number;
  /** Monotonic time after which the results have no value. */
  readonly expiresAtMs: number;
  /** Failure domain whose servers are preferred when other costs are equal. */
  readonly failureDomain: string;
  /** Regions whose servers may run its pieces; undefined when any may. */
  readonly homeRegions?: readonly string[] | undefined;
}

/** A stage server as the queue sees it. */
export interface BatchServer {
  readonly serverId: string;
  readonly failureDomain: string;
  readonly region?: string;
  /** Identifies one start of the server. A restarted server holds no results. */
  readonly startedAtMs?: number;
  /** Monotonic time before which the server accepts no calls. */
  readonly restsUntilMs?: number;
  /** Least time between two calls that its rate limit allows; undefined without a limit. */
  readonly callIntervalMs?: number | undefined;
}

/** One piece of a job. */
export interface PieceRef {
  readonly jobId: string;
  /** Position among the pieces of the job. */
  readonly piece: number;
  /** Expected size of the result. */
  readonly resultBytes: number;
}

/** A call to send now. */
export interface PlannedCall {
  readonly callId: number;
  readonly serverId: string;
  readonly pieces: readonly PieceRef[];
  readonly expectedMs: number;
  /** Whether the server has to evict results first to make room for those of the call. */
  readonly needsEviction: boolean;
}

/** Jobs that ended and calls to send after an update of the queue. */
export interface BatchStep {
  readonly ended: readonly JobResult[];
  readonly calls: readonly PlannedCall[];
}

/** Outcome of one piece of a call. */
export type PieceOutcome =
  | 'done'
  /** The job had expired before the server started the piece. */
  | 'late'
  /** One of its inputs no longer exists. */
  | 'input-gone'
  /** The server had no room for its result. */
  | 'no-room'
  | 'failed';

/** Outcome of a call. */
export type CallOutcome =
  /** One outcome for each piece, in order; `totalMs` is the time from the send to the answer. */
  | { readonly type: 'answered'; readonly pieces: readonly PieceOutcome[]; readonly totalMs: number }
  /** The server did not accept the call. */
  | { readonly type: 'refused' }
  /** The call was not sent, because the rate limit of the server allows no request before a later time. */
  | { readonly type: 'limited'; readonly untilMs: number }
  /** The connection broke or could not be established. */
  | { readonly type: 'broken' };

/** Result of a job that left the queue. */
export type JobResult =
  | { readonly jobId: string; readonly type: 'done' }
  | { readonly jobId: string; readonly type: 'failed'; readonly reason: JobFailure };

/** Reason for the failure of a job. */
export type JobFailure =
  | 'late'
  /** It could not be on time, and waited too long behind jobs that could. */
  | 'overtaken'
  | 'input-gone'
  | 'failed';

/** Decision on a new job. */
export type SubmitDecision =
  | { readonly type: 'queued' }
  /** It would end after its expiry; `retryAfterMs` is the time until the queue is expected to be short enough. */
  | { readonly type: 'refused'; readonly retryAfterMs: number };

/** Values for logs and metrics. */
export interface BatchQueueView {
  readonly waitingPieces: number;
  readonly runningCalls: number;
  readonly servers: number;
  /** Shares of the result room of all servers: occupied by results, and by results that may be evicted. */
  readonly takenShare: number;
  readonly spareShare: number;
  /** Expected wait of a piece at the end of the queue. */
  readonly waitMs: number;
}

/** Current capacity of the servers of a queue. */
export interface BatchPoolState {
  /** Sum of the speeds of the servers, each relative to a server of usual speed. */
  readonly speed: number;
  /** Learnt processing time of a piece, by kind. */
  readonly pieceMs: Readonly<Record<string, number>>;
}
