import type { BatchSpec } from '@bergamotcove/config';

/** Work that one stage of a request requires. */
export interface StageNeed {
  readonly pool: string;
  /** Indexes of the stages whose results are the inputs of this one. */
  readonly after: readonly number[];
  readonly pieces: number;
  /** Pieces of the same kind have about the same processing time. */
  readonly kind: string;
  /** Typical size of the result of one piece. */
  readonly resultBytes: number;
}

/** A part of a prompt. Several requests may share a part. */
export interface PromptPart {
  readonly partId: string;
  readonly tokens: number;
}

/** Work that a request requires from the pools of a region. */
export interface PipelineNeed {
  readonly requestId: string;
  /** Relative value of an answer that is on time, compared with other requests. */
  readonly value: number;
  readonly stages: readonly StageNeed[];
  /** Monotonic time by which the answer must begin to be on time. */
  readonly dueAtMs: number;
  /** Monotonic time after which an answer has no value. */
  readonly deadlineAtMs: number;
  readonly arrivedAtMs: number;
}

/** Current capacity of the stage servers of a pool. */
export interface StagePoolState {
  readonly spec: BatchSpec;
  /** Sum of the speeds of the servers, each relative to a server of usual speed. */
  readonly speed: number;
  /** Learnt processing time of a piece, by kind. */
  readonly pieceMs: ReadonlyMap<string, number>;
  /** Memory for results of all servers; undefined or 0 when it is not known. */
  readonly roomBytes?: number;
}

/** Predicted time for which the results of a stage occupy memory at their servers. */
export interface ResultHold {
  /** Duration of the call that makes them; a server reserves their memory when the call begins. */
  readonly callMs: number;
  /** Time from the end of the call until the readers have fetched them. */
  readonly waitMs: number;
}

/** Plan for the stages of an admitted request, by stage. */
export interface AdmittedStages {
  readonly regions: readonly string[];
  readonly holds: readonly ResultHold[];
}

/** Whether a request is admitted, and the plan for its stages. */
export type EntryDecision =
  /** The answer is expected to be on time. */
  | ({ readonly type: 'on-time'; readonly expectedAtMs: number } & AdmittedStages)
  /** The answer is expected to be late, but well within its deadline. */
  | ({ readonly type: 'late'; readonly expectedAtMs: number } & AdmittedStages)
  /** The request would miss its deadline, or take capacity that others need to be on time. */
  | { readonly type: 'refused'; readonly expectedAtMs: number; readonly retryAfterMs: number };
