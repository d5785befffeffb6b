import type { JobFailure } from '@bergamotcove/decide';

/** Method that sends the pieces of one stage of a request to the batch owner of its pool. */
export const RUN_STAGE = 'stage.run';
/** Method that cancels a job. */
export const CANCEL_STAGE = 'stage.cancel';
/** Method that releases results. */
export const RELEASE_RESULTS = 'stage.release';

/** Results of one stage that are inputs of another. */
export interface StageInput {
  readonly pool: string;
  /** Region whose servers hold the results. */
  readonly region: string;
  /** Typical size of one result. */
  readonly resultBytes: number;
  readonly results: readonly string[];
}

/** Pieces of one stage of a request, as sent to a batch owner. Times are relative to the arrival of the message. */
export interface StageJob {
  readonly jobId: string;
  readonly pool: string;
  readonly requestId: string;
  /** Equal for identical requests. */
  readonly fingerprint: string;
  readonly stage: number;
  /** Pieces of the same kind take about the same time. */
  readonly kind: string;
  /** Rank; 0 is served first. */
  readonly priority: number;
  /** Value of the request, relative to others. */
  readonly value: number;
  /** Share of the request's stages that are complete, from 0 to 1. */
  readonly progress: number;
  readonly dueInMs: number;
  readonly expiresInMs: number;
  readonly resultBytes: number;
  readonly failureDomain: string;
  readonly pieceCount: number;
  /** Names the input of a stage that takes no results. */
  readonly key: string;
  /** Results that are the input of every piece. */
  readonly inputs: readonly StageInput[];
  /** Regions whose servers may run the pieces, if not any; hosts of an earlier version ignore it. */
  readonly homeRegions?: readonly string[];
}

/** Outcome of a job. */
export type StageJobResult =
  /** One handle for each piece, in order. */
  | {
      readonly type: 'done';
      readonly results: readonly string[];
    }
  | {
      readonly type: 'failed';
      /** `moved`: no piece was sent, and another host owns the pool. `poisoned`: the request crashes servers. */
      readonly reason: JobFailure | 'refused' | 'moved' | 'poisoned';
      /** Time after which a retry is expected to be served, in milliseconds. */
      readonly retryAfterMs: number;
    };

/** Results to release, or with `spare` results that may be evicted when their memory is needed. */
export interface ReleasedResults {
  readonly pool: string;
  readonly results: readonly string[];
  readonly spare?: boolean;
}
