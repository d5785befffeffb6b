/** All pieces of one stage of one request. */
export interface BatchJob {
  readonly jobId: string;
  readonly pieceCount: number;
  /** Pieces of the same kind take about the same time. */
  readonly kind: string;
  readonly resultBytes: number;
  /** Inputs that lie in the preferred failure domain and are fetched from there by servers elsewhere. */
  readonly inputBytes: number;
  /** Rank; 0 goes first. */
  readonly priority: number;
  /** Worth of the request, compared with that of others. */
  readonly value: number;
  /** Share of the request's stages that was done before this one, 0 to 1. */
  readonly progress: number;
  /** Time by which the stage should end for the request to be on time. */
  readonly dueAtMs: number;
  /** Time after which the results are of no use. */
  readonly expiresAtMs: number;
  /** Failure domain whose servers are preferred between equals. */
  readonly failureDomain: string;
}

/** A stage server as the queue uses it. */
export interface BatchServer {
  readonly serverId: string;
  readonly failureDomain: string;
  /** The server wants no calls before this time. */
  readonly restsUntilMs?: number;
}

/** One piece of a job. */
export interface PieceRef {
  readonly jobId: string;
  /** Position among the pieces of the job. */
  readonly piece: number;
}

/** A call that is to be sent now. */
export interface PlannedCall {
  readonly callId: number;
  readonly serverId: string;
  readonly pieces: readonly PieceRef[];
  readonly expectedMs: number;
  /** Whether spare results at the server have to be given up before. */
  readonly usesSpareRoom: boolean;
}

/** What follows from the state of the queue. */
export interface BatchStep {
  readonly ended: readonly JobResult[];
  readonly calls: readonly PlannedCall[];
}

/** What became of one piece of a call. */
export type PieceOutcome =
  | 'done'
  /** Its time had run out when its turn came. */
  | 'late'
  /** One of its inputs does not exist any more. */
  | 'input-gone'
  /** The server had no room for its result. */
  | 'no-room'
  | 'failed';

/** What became of a call. */
export type CallOutcome =
  /** One outcome for each piece, in order; `totalMs` is the time from send to answer. */
  | { readonly type: 'answered'; readonly pieces: readonly PieceOutcome[]; readonly totalMs: number }
  /** The server did not take the call. */
  | { readonly type: 'refused' }
  /** The connection broke or was not made. */
  | { readonly type: 'broken' };

/** What became of a job. */
export type JobResult =
  | { readonly jobId: string; readonly type: 'done' }
  | { readonly jobId: string; readonly type: 'failed'; readonly reason: JobFailure };

/** Why a job failed. */
export type JobFailure =
  | 'late'
  /** It was late and waited behind jobs that go first. */
  | 'overtaken'
  | 'input-gone'
  | 'failed';

/** Answer to a new job. */
export type SubmitDecision =
  | { readonly type: 'queued' }
  /** It would not be done in time; `retryAfterMs` is when the queue is expected to be short enough. */
  | { readonly type: 'refused'; readonly retryAfterMs: number };

/** Figures for logs and metrics. */
export interface BatchQueueView {
  readonly waitingPieces: number;
  readonly runningCalls: number;
  readonly servers: number;
  /** Share of the room for results that is taken, and that is spare, over all servers. */
  readonly takenShare: number;
  readonly spareShare: number;
  /** Expected wait of a piece that comes last. */
  readonly waitMs: number;
}

/** How the servers of a queue do. */
export interface BatchPoolState {
  /** Servers, each counted by its speed relative to what is usual. */
  readonly speed: number;
  /** Learnt times of pieces by kind. */
  readonly pieceMs: Readonly<Record<string, number>>;
}
